#ifndef STANDIN_MEMSTORE_H
#define STANDIN_MEMSTORE_H

#include <stdbool.h>

#include "store/store.h"

/** Injected faults; initially none. */
struct memstore_faults {
	/** Reads and writes fail with kStoreUnavailable. */
	bool outage;
	/** The next N transactions are applied, but their answers are lost. */
	int32_t lose_answers;
	/** The next N transactions are lost: not applied, not answered. */
	int32_t lose_requests;
	/** The next N reads fail with kStoreUnavailable. */
	int32_t fail_reads;
	/** The store's time is unknown until the next answered read. */
	bool hides_time;
	/** Maximum rows in an answer; 0: as many as asked for. */
	int32_t page_rows;
};

struct memstore_counts {
	int64_t reads;
	int64_t writes;
};

/** In-memory table service, object store and VM list; thread-safe. */
struct memstore *memstore_new(void);
void memstore_free(struct memstore *ms);

/** Store interface of the memstore, which owns it. */
struct store *memstore_store(struct memstore *ms);

void memstore_set_faults(struct memstore *ms, const struct memstore_faults *f);
struct memstore_counts memstore_get_counts(struct memstore *ms);

/** Appends a change of a VM's state to the VM list. */
void memstore_set_vm_state(
    struct memstore *ms, const char *address, enum store_vm_state state);

#endif

#ifndef STANDIN_MEMSTORE_H
#define STANDIN_MEMSTORE_H

#include <stdbool.h>

#include "store/store.h"

/** Faults of the store; all off at first. */
struct memstore_faults {
	/** Every operation answers "unavailable". */
	bool outage;
	/** The next so many writes take effect and lose their answers. */
	int32_t lose_answers;
	/** The next so many writes do nothing and lose their answers. */
	int32_t lose_requests;
};

struct memstore_counts {
	int64_t reads;
	int64_t writes;
};

/** In-memory table service, object store and VM list; any thread. */
struct memstore *memstore_new(void);
void memstore_free(struct memstore *ms);

/** The store behind the interface that the system uses. */
struct store *memstore_store(struct memstore *ms);

void memstore_set_faults(struct memstore *ms, const struct memstore_faults *f);
struct memstore_counts memstore_get_counts(struct memstore *ms);

/** Sets a VM's state: "live", "leaving" or "gone". */
void memstore_set_vm_state(
    struct memstore *ms, const char *address, enum store_vm_state state);

#endif

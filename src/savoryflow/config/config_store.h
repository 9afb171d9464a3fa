#ifndef SAVORYFLOW_CONFIG_STORE_H
#define SAVORYFLOW_CONFIG_STORE_H

#include "savoryflow/config/config.h"
#include "store/store.h"

/*
 * Rows: config/head {"generation","digest"};
 * config/audit/NNNNNNNNNN
 * {"generation","from","who","time_us","digest","diff"}. Objects:
 * config/doc/DIGEST, the whole document. A daemon that holds a generation reads
 * only the audit rows after it.
 */

struct config_submission {
	json_t *doc;
	/** Generation that the document was made from; 0 for the first. */
	int64_t base_generation;
	/** Team of the operator. */
	const char *author;
	int64_t wall_us;
};

/**
 * Commits a configuration: head, document and audit row at once.
 * A lost answer is settled by reading the head back.
 * @return the new generation, or NULL and kErrConflict (the message names the
 *         winner's generation), kErrBadConfig, kErrStoreUnavailable (not
 *         committed) or kErrStoreAmbiguous
 */
struct config *config_store_submit(const struct store *store,
    const struct config_submission *sub, GError **err);

/**
 * Brings the holder to the head of the store.
 * @return false and a typed error if the store does not answer
 */
bool config_store_catch_up(
    const struct store *store, struct config_holder *holder, GError **err);

/** Audit rows with a generation greater than after, as a JSON array. */
json_t *config_store_history(
    const struct store *store, int64_t after, int32_t limit, GError **err);

#endif

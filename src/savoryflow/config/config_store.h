#ifndef SAVORYFLOW_CONFIG_STORE_H
#define SAVORYFLOW_CONFIG_STORE_H

#include "savoryflow/config/config.h"
#include "store/store.h"

/*
 * Rows:
 *   config/head {"generation","digest"}
 *   config/audit/NNNNNNNNNN
 *     {"generation","from","who","time_us","digest","diff"}
 * Objects:
 *   config/doc/DIGEST, the complete document.
 * A daemon that holds a generation reads only the later audit rows.
 */

struct config_submission {
	json_t *doc;
	/** Generation that the document is based on; 0 for the first. */
	int64_t base_generation;
	/** Team of the submitting operator. */
	const char *author;
	int64_t wall_us;
};

/**
 * Commits a configuration: stores the document, then writes head and audit row
 * in one transaction. If the store's answer is lost, the audit row is read back
 * to determine the outcome.
 * @return the new generation, or NULL and kErrConflict (the message contains
 *         the generation in force), kErrBadConfig, kErrStoreUnavailable (not
 *         committed) or kErrStoreAmbiguous
 */
struct config *config_store_submit(const struct store *store,
    const struct config_submission *sub, GError **err);

/**
 * Updates the holder to the generation at the store's head.
 * @return false and a typed error if the store does not answer
 */
bool config_store_catch_up(
    const struct store *store, struct config_holder *holder, GError **err);

/** Audit rows of generations greater than after, as a JSON array. */
json_t *config_store_history(
    const struct store *store, int64_t after, int32_t limit, GError **err);

#endif

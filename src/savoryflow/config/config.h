#ifndef SAVORYFLOW_CONFIG_H
#define SAVORYFLOW_CONFIG_H

#include "savoryflow/config/config_defs.h"

/**
 * Validates a document and builds one generation from it.
 * @param doc borrowed; a reference is taken
 * @return NULL and kErrBadConfig if the document is invalid
 */
struct config *config_new(json_t *doc, int64_t generation, GError **err);
struct config *config_ref(struct config *cfg);
void config_unref(struct config *cfg);

/** SHA-256 (hex) of the document's canonical text; digest holds 65 bytes. */
void config_digest(const json_t *doc, char *digest);

/**
 * Difference of two documents: {"section":{"name":value or null}}.
 * @param from NULL means the empty document
 */
json_t *config_diff(const json_t *from, const json_t *to);

/** New document: from (NULL: the empty one) with the difference applied. */
json_t *config_apply(const json_t *from, const json_t *diff);

/** Team of an API key, or NULL. Looked up by hash to resist timing attacks. */
const struct config_team *config_team_of_key(
    const struct config *cfg, const char *key);

/*
 * Holds the generation in force on this daemon, which never decreases.
 * Thread-safe.
 */
struct config_holder;

struct config_holder *config_holder_new(void);
void config_holder_free(struct config_holder *holder);

/** New reference to the configuration in force, or NULL. */
struct config *config_holder_get(struct config_holder *holder);

/** Generation in force, 0 if there is none. */
int64_t config_holder_generation(struct config_holder *holder);

/**
 * Offers a generation, which comes into force only if it is newer.
 * @return true if it came into force
 */
bool config_holder_offer(struct config_holder *holder, struct config *cfg);

#endif

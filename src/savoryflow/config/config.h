#ifndef SAVORYFLOW_CONFIG_H
#define SAVORYFLOW_CONFIG_H

#include "savoryflow/config/config_defs.h"

/**
 * Builds one generation from a document, which is checked first.
 * @param doc borrowed; a reference is taken
 * @return NULL and kErrBadConfig if the document does not pass
 */
struct config *config_new(json_t *doc, int64_t generation, GError **err);
struct config *config_ref(struct config *cfg);
void config_unref(struct config *cfg);

/** SHA-256 (hex) of the document's stable text; digest holds 65 bytes. */
void config_digest(const json_t *doc, char *digest);

/**
 * Difference of two documents: {"section":{"name":value or null}}.
 * @param from NULL stands for the empty document
 */
json_t *config_diff(const json_t *from, const json_t *to);

/** New document: from (or the empty one) with the difference applied. */
json_t *config_apply(const json_t *from, const json_t *diff);

/** Team of an API key, or NULL. The comparison does not leak its time. */
const struct config_team *config_team_of_key(
    const struct config *cfg, const char *key);

/*
 * The holder keeps the generation in force on this daemon. It never goes down.
 */
struct config_holder;

struct config_holder *config_holder_new(void);
void config_holder_free(struct config_holder *holder);

/** The generation in force with a reference of the caller's, or NULL. */
struct config *config_holder_get(struct config_holder *holder);

/** Generation in force; 0 before the first. */
int64_t config_holder_generation(struct config_holder *holder);

/**
 * Offers a generation; it comes into force only if it is newer.
 * @return true if it is in force now
 */
bool config_holder_offer(struct config_holder *holder, struct config *cfg);

#endif

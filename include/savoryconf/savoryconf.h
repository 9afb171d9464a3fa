#ifndef SAVORYCONF_H
#define SAVORYCONF_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Operators' library: builds, checks and prints a configuration document.
 * The printed document is sorted, so that two of them compare line by line.
 */

enum {
	/** Version of the document's shape. */
	kSavoryconfSchema = 1,
	/** Longest name of a service, model, target or team, in bytes. */
	kSavoryconfNameMax = 63,
	kSavoryconfTailBudgetMaxMs = 10000,
	kSavoryconfWeightMax = 1000,
};

enum savoryconf_error {
	kSavoryconfErrSchema,
	kSavoryconfErrName,
	kSavoryconfErrField,
	kSavoryconfErrReference,
	kSavoryconfErrDuplicate,
};

#define SAVORYCONF_ERROR (savoryconf_error_quark())
GQuark savoryconf_error_quark(void);

enum savoryconf_kind {
	/** A model engine that streams tokens. */
	kSavoryconfEngine,
	/** A plain HTTP service. */
	kSavoryconfPlain,
};

struct savoryconf_service {
	const char *name;
	enum savoryconf_kind kind;
	/** Plain services: its calls may be repeated. */
	bool idempotent;
	/** Online tail that may be spent on batch, 0 to 10000 ms. */
	int32_t tail_budget_ms;
};

struct savoryconf_model {
	const char *service;
	const char *name;
	const char *version;
};

struct savoryconf_target {
	const char *name;
	/** Base URL, http://IP:PORT. */
	const char *url;
	const char *service;
	const char *region;
	const char *data_center;
	/** The target refuses orders with an old fencing number. */
	bool checks_fencing;
	/** Most streams that the engine runs at once, 1 to 100000. */
	int32_t slots;
};

struct savoryconf_team {
	const char *name;
	/** API key; only its SHA-256 is kept. */
	const char *key;
	bool is_operator;
	/** Online requests a second over all daemons; 0 means no limit. */
	int32_t rate_per_s;
	/** Online requests at once over all daemons; 0 means no limit. */
	int32_t concurrency;
	/** Share of batch capacity against other teams, 1 to 1000. */
	int32_t weight;
};

/** A configuration that is being built. */
struct savoryconf;

struct savoryconf *savoryconf_new(void);
void savoryconf_free(struct savoryconf *sc);

/*
 * Each adds one element. The strings are copied. Mistakes are kept and
 * reported by savoryconf_print.
 */
void savoryconf_add_service(
    struct savoryconf *sc, const struct savoryconf_service *svc);
void savoryconf_add_model(
    struct savoryconf *sc, const struct savoryconf_model *model);
void savoryconf_add_target(
    struct savoryconf *sc, const struct savoryconf_target *target);
void savoryconf_add_team(
    struct savoryconf *sc, const struct savoryconf_team *team);

/**
 * Checks and prints the document.
 * @return text to be freed with free(), or NULL and a typed error
 */
char *savoryconf_print(struct savoryconf *sc, GError **err);

/** Prints a document in the stable form. @return text for free() */
char *savoryconf_dump(const json_t *doc);

/**
 * Checks a document; the library and the daemons use this same check.
 * @return false and a typed error naming the section, element and field
 */
bool savoryconf_check(const json_t *doc, GError **err);

#endif

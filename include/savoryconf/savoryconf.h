#ifndef SAVORYCONF_H
#define SAVORYCONF_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Operators' library: builds, checks and prints a configuration document. The
 * printed document is sorted, so that two can be compared line by line.
 */

enum {
	/** Schema version of the document. */
	kSavoryconfSchema = 1,
	/** Maximum bytes of a service, model, target or team name. */
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
	/** Plain services: calls may be repeated safely. */
	bool idempotent;
	/** Increase of the online first-token tail latency that batch work may
	 * cause, 0 to 10000 ms. */
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
	/** The target rejects orders with an outdated fencing number. */
	bool checks_fencing;
	/** Maximum concurrent streams of the engine, 1 to 100000. */
	int32_t slots;
};

struct savoryconf_team {
	const char *name;
	/** API key; the document holds only its SHA-256. */
	const char *key;
	bool is_operator;
	/** Online requests per second over all daemons; 0: no limit. */
	int32_t rate_per_s;
	/** Concurrent online requests over all daemons; 0: no limit. */
	int32_t concurrency;
	/** Weight of the team's share of batch capacity, 1 to 1000. */
	int32_t weight;
};

/** A configuration document under construction. */
struct savoryconf;

struct savoryconf *savoryconf_new(void);
void savoryconf_free(struct savoryconf *sc);

/*
 * Each adds one element. The strings are copied. savoryconf_print reports the
 * first error.
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
 * @return text to free with free(), or NULL and a typed error
 */
char *savoryconf_print(struct savoryconf *sc, GError **err);

/** Prints a document in sorted form. @return text to free with free() */
char *savoryconf_dump(const json_t *doc);

/**
 * Checks a document; the library and the daemons share this check.
 * @return false and a typed error naming the section, element and field
 */
bool savoryconf_check(const json_t *doc, GError **err);

#endif

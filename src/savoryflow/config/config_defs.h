#ifndef SAVORYFLOW_CONFIG_DEFS_H
#define SAVORYFLOW_CONFIG_DEFS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct config_service {
	char *name;
	bool is_engine;
	bool idempotent;
	int64_t tail_budget_us;
	/** struct config_target * of this service; not owned. */
	GPtrArray *targets;
};

struct config_target {
	char *name;
	char *url;
	char *region;
	char *data_center;
	struct config_service *service;
	/** Model and version that the target should run; NULL if none. */
	char *model;
	char *model_version;
	bool checks_fencing;
	int32_t slots;
};

struct config_team {
	char *name;
	char *key_sha256;
	bool is_operator;
	int32_t rate_per_s;
	int32_t concurrency;
	int32_t weight;
};

/** One configuration generation; immutable and reference-counted. */
struct config {
	gint refs;
	int64_t generation;
	char digest[65];
	json_t *doc;
	/** By name; each table owns its values. */
	GHashTable *services;
	GHashTable *targets;
	GHashTable *teams;
	/** struct config_team by key_sha256; not owned. */
	GHashTable *teams_by_key;
};

#endif

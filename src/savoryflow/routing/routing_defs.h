#ifndef SAVORYFLOW_ROUTING_DEFS_H
#define SAVORYFLOW_ROUTING_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "savoryflow/membership/membership_defs.h"

/** Where this daemon stands. */
struct routing_location {
	const char *region;
	const char *data_center;
};

/** A daemon that may arbitrate. */
struct routing_daemon {
	char address[kMemberAddressMax];
	char region[kMemberLocationMax];
	char data_center[kMemberLocationMax];
};

struct routing_target {
	char *name;
	char *url;
	char *region;
	char *data_center;
	bool is_engine;
	int32_t slots;
	int64_t tail_budget_us;
	/** Peer address of the target's arbiter; empty if there is none. */
	char arbiter[kMemberAddressMax];
	/** Leaving or gone, by the platform's list, a report or an answer. */
	bool is_leaving;
	/** Failed answers one after the other. */
	int32_t failures;
	/** Ejected until then; one request probes it afterwards. */
	int64_t ejected_until_us;
	bool is_probing;
	/** Last known expected time to first token, and its time. */
	int64_t load_us;
	int64_t load_at_us;
};

enum routing_scope {
	kScopeDataCenter,
	kScopeRegion,
	kScopeWorld,
	kScopeCount,
};

/** What a request wants of its target. */
struct routing_query {
	const char *service;
	/** Hash of the prompt's leading blocks. */
	uint64_t prefix_hash;
	/** Prompt tokens that a cached prefix saves. */
	int32_t prompt_tokens;
	/** Target that must not be taken again, or NULL. */
	const char *excluded_target;
	int64_t now_us;
};

#endif

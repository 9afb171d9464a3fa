#ifndef SAVORYFLOW_ROUTING_DEFS_H
#define SAVORYFLOW_ROUTING_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "savoryflow/membership/membership_defs.h"

/** Location of this daemon. */
struct routing_location {
	const char *region;
	const char *data_center;
};

/** A daemon that may act as arbiter. */
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
	/** Leaving or removed, according to the platform's list, a report or an
	 * answer. */
	bool is_leaving;
	/** Consecutive failed answers. */
	int32_t failures;
	/** Ejected until this time, then probed by one request; 0: healthy. */
	int64_t ejected_until_us;
	bool is_probing;
	/** Last reported expected time to first token, and when. */
	int64_t load_us;
	int64_t load_at_us;
};

enum routing_scope {
	kScopeDataCenter,
	kScopeRegion,
	kScopeWorld,
	kScopeCount,
};

/** Criteria for selecting a request's target. */
struct routing_query {
	const char *service;
	/** Hash of the prompt's leading blocks. */
	uint64_t prefix_hash;
	/** Prompt tokens saved if the prefix is cached. */
	int32_t prompt_tokens;
	/** Target that must not be chosen, or NULL. */
	const char *excluded_target;
	int64_t now_us;
};

#endif

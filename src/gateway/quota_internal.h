#ifndef SAVORYFLOW_GATEWAY_QUOTA_INTERNAL_H
#define SAVORYFLOW_GATEWAY_QUOTA_INTERNAL_H

#include "gateway/quota.h"
#include "savoryflow/job/itemjob_store.h"
#include "savoryflow/job/token_quota.h"

/* Internal to the quota module. */

struct quota {
	struct quota_options opt;
	uint64_t next_id;
	/** When the connections to all peers were last requested. */
	int64_t all_connected_us;
	/** The counts are compared with the open jobs; when that began. */
	bool is_syncing;
	int64_t synced_us;
	/** struct quota_wait by id. */
	GHashTable *waits;
	/** int64_t tokens to report, by "ROUTE JOB". */
	GHashTable *reports;
	/** int64_t: time until which a daemon is not asked, by address. */
	GHashTable *avoided;
	/** struct hosted_quota by route. */
	GHashTable *hosted;
};

/** A request for tokens, as its asker sent it. */
struct quota_ask {
	/** Address of the asker. */
	char from[kFleetAddressMax];
	uint64_t id;
	char *job;
	int64_t tokens;
	int64_t limit;
	int64_t stale_fence;
};

/** Answers an ask: to this daemon itself or to a peer. */
void quota_send_answer(struct quota *qt, const struct quota_ask *ask,
    const struct quota_answer *answer);

/* quota_host.c */

void quota_host_free(void *p);
void quota_host_ask(
    struct quota *qt, const char *route, const struct quota_ask *ask);
/** @param is_elected this daemon is to count the route's tokens */
void quota_host_prepare(struct quota *qt, const char *route, bool is_elected);
void quota_host_report(
    struct quota *qt, const char *route, const char *job, int64_t tokens);
void quota_host_tick(struct quota *qt, int64_t now_us);

#endif

/* Attribution of a target's crash to the requests in flight. */
#include "savoryflow/arbiter/arbiter.h"
#include "savoryflow/arbiter/arbiter_internal.h"
#include "savoryflow/arbiter/u64_hash.h"

enum {
	/* Crash reports within this time are attributed to one crash. */
	kCrashWindowUs = 2 * kUsPerSecond,
};

static void
suspect_add(struct crash *crash, uint64_t id)
{
	uint64_t *key = g_new(uint64_t, 1);

	*key = id;
	g_hash_table_insert(crash->suspects, key, key);
}

/* Determines, once per crash, which grants may have caused it. */
static void
crash_begin(struct arbiter *arb, int64_t now_us)
{
	bool only_prefilling = arb->prefilling_grants > 0;
	struct grant *prior_suspect = NULL;
	GHashTableIter it;
	void *val;

	g_hash_table_remove_all(arb->crash.suspects);
	arb->crash.at_us = now_us;
	arb->crash.quarantined_id = 0;
	g_hash_table_iter_init(&it, arb->grants);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct grant *gr = val;

		/* A batch item never crashes a target: it is owed until its
		 * job ends. */
		if (gr->req.work_class == kWorkBatch ||
		    (only_prefilling && gr->has_first_token))
			continue;
		suspect_add(&arb->crash, gr->req.id);
		if (gr->req.is_suspect)
			prior_suspect = gr;
	}
	if (prior_suspect != NULL &&
	    g_hash_table_size(arb->crash.suspects) == 1)
		arb->crash.quarantined_id = prior_suspect->req.id;
}

enum arbiter_crash_verdict
arbiter_crash(struct arbiter *arb, uint64_t id, int64_t now_us, GArray *out)
{
	enum arbiter_crash_verdict verdict = kCrashUnrelated;

	if (now_us - arb->crash.at_us > kCrashWindowUs)
		crash_begin(arb, now_us);
	if (arb->crash.quarantined_id == id)
		verdict = kCrashQuarantined;
	else if (g_hash_table_contains(arb->crash.suspects, &id))
		verdict = kCrashSuspect;
	arbiter_release(arb, id, now_us, out);
	return verdict;
}

/* Removal of finished jobs by the elected daemon. */
#include "gateway/janitor.h"

#include <string.h>

#include "log/log.h"
#include "savoryflow/job/itemjob_store.h"

struct janitor {
	struct janitor_options opt;
	uint64_t timer;
	int32_t removed;
	enum store_result outcome;
};

static void check(void *ctx);

static void
schedule_check(struct janitor *jn)
{
	jn->timer = loop_timer(
	    jn->opt.lp, loop_now_us(jn->opt.lp) + jn->opt.period_us, check, jn);
}

static void
work(void *ctx)
{
	struct janitor *jn = ctx;
	const struct store *st = jn->opt.store;
	int64_t now_ms;
	GPtrArray *ids = NULL;

	jn->removed = 0;
	jn->outcome = kStoreUnavailable;
	if (!st->ops->now_ms(st->ctx, &now_ms))
		return;
	jn->outcome = itemjob_read_expired(
	    st, now_ms - jn->opt.retention_us / kUsPerMs, &ids);
	for (guint i = 0; i < ids->len && jn->outcome == kStoreOk; i++) {
		jn->outcome = itemjob_remove(st, ids->pdata[i]);
		if (jn->outcome == kStoreOk)
			jn->removed++;
	}
	g_ptr_array_unref(ids);
}

static void
done(void *ctx)
{
	struct janitor *jn = ctx;

	if (jn->removed > 0 || jn->outcome != kStoreOk)
		log_event(kEvtJobsRemoved, "jobs", log_number(jn->removed),
		    "store", store_result_text(jn->outcome), (char *)NULL);
	schedule_check(jn);
}

static void
check(void *ctx)
{
	struct janitor *jn = ctx;
	const char *owner = roster_owner(
	    jn->opt.roster, "janitor", NULL, loop_now_us(jn->opt.lp));

	jn->timer = 0;
	if (strcmp(owner, jn->opt.address) != 0 ||
	    !offload_run(jn->opt.offload, work, done, jn))
		schedule_check(jn);
}

struct janitor *
janitor_new(const struct janitor_options *opt)
{
	struct janitor *jn = g_new0(struct janitor, 1);

	jn->opt = *opt;
	schedule_check(jn);
	return jn;
}

void
janitor_free(struct janitor *jn)
{
	loop_timer_cancel(jn->opt.lp, jn->timer);
	g_free(jn);
}

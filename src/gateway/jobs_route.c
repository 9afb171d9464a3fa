/* Jobs whose route is gone: their items end with it. */
#include "gateway/jobs_internal.h"
#include "log/log.h"

enum {
	/* A version may remove a route and the next one bring it back. */
	kRouteGoneUs = 5 * kUsPerS,
	/* This daemon never knew the route: its version may be older than the
	 * job. */
	kRouteUnknownUs = 10 * kUsPerS,
};

static void
end_items(struct job_run *run, int64_t now_us)
{
	int64_t age_us = MAX(now_us - run->accepted_us, 1);

	log_event(kEvtJobRouteGone, "job", run->job->id, "items",
	    log_number(run->items->len), "listed", log_number(run->listed),
	    "gone_us", log_number(now_us - run->route_gone_us), "age_us",
	    log_number(age_us), NULL);
	run->ttl_us = run->ttl_us > 0 ? MIN(run->ttl_us, age_us) : age_us;
	run->is_route_ended = true;
}

void
jobs_route_check(struct job_run *run)
{
	const struct routebook *book = run->js->opt.routes(run->js->opt.ctx);
	int64_t now_us = loop_now_us(run->js->opt.deps.lp);

	if (book == NULL)
		return;
	if (routebook_find(book, run->job->host, run->job->path) != NULL) {
		run->was_route_known = true;
		run->route_gone_us = 0;
		run->is_route_ended = false;
		return;
	}
	if (run->route_gone_us == 0)
		run->route_gone_us = now_us;
	if (!run->is_route_ended &&
	    now_us - run->route_gone_us >
		(run->was_route_known ? kRouteGoneUs : kRouteUnknownUs))
		end_items(run, now_us);
}

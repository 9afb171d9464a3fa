/* Acts on the decisions of a budget. */
#include "gateway/budget/budget_watch.h"

#include "log/log.h"
#include "metric/metric.h"
#include "os/heap.h"

enum {
	kPeriodUs = 100 * kUsPerMs,
	/* Debtors that are closed or resumed at one time. */
	kStepMax = 32,
};

struct budget_watch {
	struct budget_watch_options opt;
	bool is_short;
	uint64_t timer;
};

static void
set_gauges(const struct budget_usage *usage)
{
	static const enum metric_id gauges[kBudgetAccountCount] = {
	    [kBudgetConnections] = kMetBudgetConnections,
	    [kBudgetHeads] = kMetBudgetHeads,
	    [kBudgetReading] = kMetBudgetReading,
	    [kBudgetHeld] = kMetBudgetHeld,
	    [kBudgetUnread] = kMetBudgetUnread,
	    [kBudgetAnswers] = kMetBudgetAnswers,
	};

	for (int i = 0; i < kBudgetAccountCount; i++)
		metric_set(gauges[i], usage->bytes[i]);
	metric_set(kMetBudgetLimit, usage->limit_bytes);
}

static void
record_mark(struct budget_watch *bw, const struct budget_usage *usage)
{
	if (usage->is_short == bw->is_short)
		return;
	bw->is_short = usage->is_short;
	log_event(usage->is_short ? kEvtBudgetShort : kEvtBudgetFree,
	    "used_bytes", log_number(usage->used_bytes), "limit_bytes",
	    log_number(usage->limit_bytes), "connections",
	    log_number(usage->debtors), "waiting", log_number(usage->waiting),
	    (char *)NULL);
	if (!usage->is_short)
		heap_trim();
}

static void
resume_ready(struct budget_watch *bw, int64_t now_us)
{
	struct budget_debtor *d;

	for (int i = 0; i < kStepMax; i++) {
		d = budget_next_ready(
		    bw->opt.budget, (int64_t)i * kBudgetOrdinaryBytes, now_us);
		if (d == NULL)
			return;
		bw->opt.ops->resume(d);
	}
}

static void
tick(void *ctx)
{
	struct budget_watch *bw = ctx;
	int64_t now_us = loop_now_us(bw->opt.lp);
	struct budget_usage usage;
	struct budget_debtor *d;

	resume_ready(bw, now_us);
	for (int i = 0; i < kStepMax; i++) {
		d = budget_victim(bw->opt.budget, now_us);
		if (d == NULL)
			break;
		bw->opt.ops->close(d);
		resume_ready(bw, now_us);
	}
	budget_get_usage(bw->opt.budget, &usage);
	set_gauges(&usage);
	record_mark(bw, &usage);
	bw->timer = loop_timer(bw->opt.lp, now_us + kPeriodUs, tick, bw);
}

struct budget_watch *
budget_watch_new(const struct budget_watch_options *opt)
{
	struct budget_watch *bw = g_new0(struct budget_watch, 1);

	bw->opt = *opt;
	tick(bw);
	return bw;
}

void
budget_watch_free(struct budget_watch *bw)
{
	loop_timer_cancel(bw->opt.lp, bw->timer);
	g_free(bw);
}

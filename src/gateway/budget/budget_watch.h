#ifndef SAVORYFLOW_GATEWAY_BUDGET_WATCH_H
#define SAVORYFLOW_GATEWAY_BUDGET_WATCH_H

#include "gateway/loop.h"
#include "savoryflow/budget/budget.h"

/** What is done with the debtors that the budget selects. */
struct budget_watch_ops {
	/** Closes the client's connection, or refuses its request. */
	void (*close)(struct budget_debtor *d);
	/** Reads its body on. */
	void (*resume)(struct budget_debtor *d);
};

struct budget_watch_options {
	struct loop *lp;
	struct budget *budget;
	const struct budget_watch_ops *ops;
};

/** Acts on the decisions of a budget ten times a second; sets the gauges. */
struct budget_watch;

struct budget_watch *budget_watch_new(const struct budget_watch_options *opt);
void budget_watch_free(struct budget_watch *bw);

#endif

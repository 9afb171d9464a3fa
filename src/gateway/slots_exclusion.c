/*
 * Excluded targets. A request avoids the target of its last attempt while
 * another one may serve it. The exclusion ends when there is no other target,
 * when all pools with others have refused, and with time.
 */
#include <string.h>

#include "gateway/slots_internal.h"

enum {
	/* Shorter than the period in which a queued item chooses its pool
	 * again. */
	kExclusionMaxUs = 900 * kUsPerMs,
};

bool
slots_has_other_target(const struct slots *sl, const char *service,
    const char *data_center, const char *excluded)
{
	GPtrArray *all = fleet_list(sl->opt.fleet);
	bool has_other = false;

	for (guint i = 0; i < all->len && !has_other; i++) {
		const struct fleet_target *t = all->pdata[i];

		has_other = !t->is_draining && t->expires_at_us == 0 &&
		    strcmp(t->service, service) == 0 &&
		    (data_center == NULL ||
			strcmp(t->data_center, data_center) == 0) &&
		    strcmp(t->id, excluded) != 0;
	}
	g_ptr_array_unref(all);
	return has_other;
}

bool
slots_may_serve(
    const struct slots *sl, const struct pool_view *view, const struct hold *h)
{
	if (strcmp(view->service, h->service) != 0 || view->listed_slots == 0)
		return false;
	return h->request.excluded_target[0] == '\0' ||
	    slots_has_other_target(sl, view->service, view->data_center,
		h->request.excluded_target);
}

bool
slots_end_exclusion(struct hold *h)
{
	if (h->is_exclusion_strict || h->request.excluded_target[0] == '\0')
		return false;
	h->request.excluded_target[0] = '\0';
	h->tried_count = 0;
	return true;
}

void
slots_expire_exclusion(const struct slots *sl, struct hold *h)
{
	int64_t age_us = loop_now_us(sl->opt.lp) - h->acquired_us;

	if (age_us >= kExclusionMaxUs ||
	    !slots_has_other_target(
		sl, h->service, NULL, h->request.excluded_target))
		slots_end_exclusion(h);
}

void
slots_relax_exclusion(struct slots *sl, uint64_t id)
{
	struct hold *h = g_hash_table_lookup(sl->holds, &id);

	if (h != NULL)
		h->is_exclusion_strict = false;
}

/* Items that would crash targets wait. */
#include <inttypes.h>

#include "gateway/jobs_internal.h"
#include "log/log.h"

enum {
	/* Time until an item that is blocked, or held, is looked at again. */
	kBlockedWaitUs = kUsPerS,
	kHeldWaitUs = 100 * kUsPerMs,
};

struct header_list *
jobs_item_headers(const struct itemjob_item *item)
{
	struct header_list *headers = header_list_new();

	for (guint i = 0; i < item->headers->len; i++) {
		const struct itemjob_header *h =
		    &g_array_index(item->headers, struct itemjob_header, i);

		header_list_add(headers, h->name, h->value);
	}
	return headers;
}

void
jobs_guard_init(struct item_run *ir)
{
	const struct dialect_ops *dialect = ir->run->js->opt.deps.dialect;
	struct header_list *headers = jobs_item_headers(ir->item);
	struct prompt_parts parts;

	dialect->decode_parts(headers, &parts);
	crash_guard_keys(
	    ir->item->path, ir->item->body, &parts, true, &ir->keys);
	header_list_free(headers);
}

bool
jobs_guard_is_blocked(struct item_run *ir, int64_t now_us)
{
	char text[20];
	uint64_t key;
	enum blame_verdict verdict =
	    crash_guard_check(ir->run->js->opt.guard, &ir->keys, true, &key);

	ir->is_trial = verdict == kBlameTrial;
	if (verdict == kBlameHeld) {
		ir->next_attempt_us = now_us + kHeldWaitUs;
		return true;
	}
	if (verdict != kBlameBlocked) {
		ir->is_blocked = false;
		return false;
	}
	ir->next_attempt_us = now_us + kBlockedWaitUs;
	if (ir->is_blocked)
		return true;
	ir->is_blocked = true;
	g_snprintf(text, sizeof(text), "%" PRIx64, key);
	log_event(kEvtItemBlocked, "job", ir->run->job->id, "item",
	    ir->item->id, "key", text, NULL);
	return true;
}

bool
jobs_guard_may_run(void *ctx, bool is_repeat)
{
	struct item_run *ir = ctx;
	uint64_t key;

	return ir->is_trial ||
	    crash_guard_check(ir->run->js->opt.guard, &ir->keys, false, &key) !=
	    kBlameBlocked;
}

void
jobs_guard_on_begun(void *ctx, int64_t sent_us)
{
	struct item_run *ir = ctx;

	crash_guard_on_begun(ir->run->js->opt.guard, &ir->keys, sent_us);
}

bool
jobs_guard_on_lost_run(void *ctx, const struct relay_lost_run *run)
{
	struct item_run *ir = ctx;

	crash_guard_on_lost_run(
	    ir->run->js->opt.guard, ir->item->id, &ir->keys, run);
	return true;
}

/* Admission of online and batch requests to one target. */
#include "savoryflow/arbiter/arbiter.h"

#include <assert.h>
#include <string.h>

#include "savoryflow/arbiter/engine_cost.h"
#include "savoryflow/arbiter/fair_queue.h"
#include "savoryflow/arbiter/forecast.h"
#include "savoryflow/arbiter/tail_tracker.h"
#include "savoryflow/arbiter/u64_hash.h"

enum {
	/* Batch due within this time takes precedence over fair sharing. */
	kUrgentUs = 600 * kUsPerSecond,
	/* Online arrival rate in a burst, as a multiple of the mean rate. */
	kBurstFactor = 5,
	/* Bounds of the retry-after time sent with a refusal. */
	kRetryAfterMinUs = 200000,
	kRetryAfterMaxUs = 30 * kUsPerSecond,
	/* Prompt length assumed until the first request arrives. */
	kPromptTokensDefault = 500,
	/* Bounds of the cost model's correction factor, in 1/1024. */
	kCostScaleMin = 512,
	kCostScaleMax = 8192,
	/* A request that would wait longer for a start tries another target
	 * first. */
	kBusyWaitUs = 100000,
	/* Period of the scan for grants whose lease has expired. */
	kExpiryPeriodUs = kUsPerSecond,
};

GArray *
arbiter_actions_new(void)
{
	return g_array_new(FALSE, TRUE, sizeof(struct arbiter_action));
}

static void
update_capacity(struct arbiter *arb)
{
	struct engine_cost cost = forecast_cost(arb);

	arb->capacity = arb->opt.is_plain
	    ? cost.streams_max
	    : engine_cost_capacity(&cost, arb->opt.token_interval_us);
}

struct arbiter *
arbiter_new(const struct arbiter_options *opt)
{
	struct arbiter *arb = g_new0(struct arbiter, 1);

	assert(opt->cost.streams_max > 0);
	arb->grants = u64_hash_new(g_free);
	arb->online_queue = g_sequence_new(NULL);
	arb->online_by_id = u64_hash_new(g_free);
	arb->batch_queue = fair_queue_new();
	arb->crash.suspects = u64_hash_new(g_free);
	arb->crash.at_us = INT64_MIN / 2;
	arb->mean_prompt_tokens = kPromptTokensDefault;
	arb->mean_hold_us = kUsPerSecond;
	arb->cost_scale = kScaleOne;
	arb->tail = tail_tracker_new();
	g_queue_init(&arb->batch_grants);
	arbiter_configure(arb, opt);
	return arb;
}

void
arbiter_free(struct arbiter *arb)
{
	g_queue_clear(&arb->batch_grants);
	tail_tracker_free(arb->tail);
	g_hash_table_unref(arb->crash.suspects);
	g_hash_table_unref(arb->grants);
	g_sequence_free(arb->online_queue);
	g_hash_table_unref(arb->online_by_id);
	fair_queue_free(arb->batch_queue);
	g_free(arb);
}

void
arbiter_configure(struct arbiter *arb, const struct arbiter_options *opt)
{
	arb->opt = *opt;
	update_capacity(arb);
}

int32_t
arbiter_capacity(const struct arbiter *arb)
{
	return arb->capacity;
}

static void
emit(GArray *out, enum arbiter_verdict verdict,
    const struct admission_request *req, int64_t retry_after_us)
{
	struct arbiter_action act = {
	    verdict, req->holder, req->id, retry_after_us};

	g_array_append_val(out, act);
}

static void
refuse(struct arbiter *arb, const struct admission_request *req, int64_t now_us,
    GArray *out)
{
	emit(out, kArbiterRefused, req,
	    CLAMP(arbiter_queue_wait_us(arb, now_us), kRetryAfterMinUs,
		kRetryAfterMaxUs));
}

static void
reject_leaving(const struct admission_request *req, GArray *out)
{
	emit(out, kArbiterLeaving, req, 0);
}

/* Adds the grant to the counts by class (sign 1) or removes it (-1). */
static void
count_grant(struct arbiter *arb, const struct grant *gr, int32_t sign)
{
	if (gr->req.work_class == kWorkOnline)
		arb->online += sign;
	else if (gr->is_revoked)
		arb->revoked += sign;
	else
		arb->batch += sign;
}

static void
count_prefill(struct arbiter *arb, const struct grant *gr, int32_t sign)
{
	arb->prefilling_grants += sign;
	if (sign > 0)
		arb->prefill_tokens += gr->req.prompt_tokens;
	if (gr->req.work_class == kWorkOnline)
		arb->online_prefill_tokens += sign * gr->req.prompt_tokens;
	else
		arb->batch_prefill_tokens += sign * gr->req.prompt_tokens;
}

static struct grant *
grant_add(
    struct arbiter *arb, const struct admission_request *req, int64_t now_us)
{
	struct grant *gr = g_new0(struct grant, 1);

	forecast_update_prefill(arb, now_us);
	gr->req = *req;
	gr->granted_us = now_us;
	g_hash_table_insert(arb->grants, &gr->req.id, gr);
	count_grant(arb, gr, 1);
	count_prefill(arb, gr, 1);
	if (req->work_class == kWorkBatch) {
		g_queue_push_tail(&arb->batch_grants, gr);
		gr->batch_link = arb->batch_grants.tail;
	}
	if (req->is_suspect)
		arb->isolated_suspect = req->id;
	return gr;
}

static void
grant_set_first_token(struct arbiter *arb, struct grant *gr)
{
	if (gr->has_first_token)
		return;
	gr->has_first_token = true;
	count_prefill(arb, gr, -1);
	if (arb->isolated_suspect == gr->req.id)
		arb->isolated_suspect = 0;
}

static void
grant_remove(struct arbiter *arb, struct grant *gr)
{
	grant_set_first_token(arb, gr);
	count_grant(arb, gr, -1);
	if (gr->batch_link != NULL)
		g_queue_delete_link(&arb->batch_grants, gr->batch_link);
	g_hash_table_remove(arb->grants, &gr->req.id);
}

static void
grant_revoke(struct arbiter *arb, struct grant *gr, GArray *out)
{
	count_grant(arb, gr, -1);
	gr->is_revoked = true;
	count_grant(arb, gr, 1);
	g_queue_delete_link(&arb->batch_grants, gr->batch_link);
	gr->batch_link = NULL;
	emit(out, kArbiterRevoked, &gr->req, 0);
}

/* Revokes the newest batch grant, which has the least work to lose. */
static bool
revoke_one(struct arbiter *arb, GArray *out)
{
	struct grant *gr = g_queue_peek_tail(&arb->batch_grants);

	if (gr == NULL)
		return false;
	grant_revoke(arb, gr, out);
	return true;
}

/* Slots kept free for an online burst that arrives while a revoked stream is
 * being cancelled. */
static int32_t
reserved_slots(const struct arbiter *arb)
{
	int64_t burst_scaled = arb->rate_scaled * kBurstFactor;

	return (int32_t)(burst_scaled * arb->opt.cancel_latency_us /
	    kUsPerSecond / kScaleOne);
}

static bool
batch_fits(const struct arbiter *arb, const struct admission_request *req,
    int64_t now_us)
{
	if (forecast_streams(arb) + reserved_slots(arb) >= arb->capacity ||
	    !start_rate_allows(&arb->rate, true, now_us))
		return false;
	if (arb->opt.is_plain)
		return true;
	if (forecast_burst_delay_us(arb, arb->batch + 1) >
	    arb->opt.tail_budget_us)
		return false;
	return forecast_first_token_us(arb, 1,
		   req->prompt_tokens +
		       forecast_backlog_growth(arb, 1, now_us)) <=
	    forecast_admission_limit_us(arb);
}

/* A suspect is prefilled alone; until then no other request may start. */
static bool
start_is_blocked(const struct arbiter *arb, const struct admission_request *req)
{
	return arb->isolated_suspect != 0 ||
	    (req->is_suspect && arb->prefilling_grants > 0);
}

static void
admit_batch(struct arbiter *arb, int64_t now_us, GArray *out)
{
	struct admission_request req;

	if (arb->is_leaving || g_hash_table_size(arb->online_by_id) > 0)
		return;
	forecast_update_prefill(arb, now_us);
	while (fair_queue_peek(arb->batch_queue, now_us + kUrgentUs, &req)) {
		if (!batch_fits(arb, &req, now_us) ||
		    start_is_blocked(arb, &req))
			return;
		fair_queue_pop(arb->batch_queue, now_us + kUrgentUs, &req);
		grant_add(arb, &req, now_us);
		start_rate_record(&arb->rate, now_us);
		emit(out, kArbiterGranted, &req, 0);
	}
}

/* Revokes batch grants until the forecast is within the tail budget. */
static void
shed_batch(struct arbiter *arb, int64_t now_us, GArray *out)
{
	if (arb->opt.is_plain)
		return;
	while (arb->batch > 0 &&
	    forecast_first_token_us(
		arb, 0, forecast_backlog_growth(arb, 0, now_us)) >
		forecast_limit_us(arb))
		revoke_one(arb, out);
}

static bool
online_has_slot(struct arbiter *arb, int64_t now_us, GArray *out)
{
	if (!start_rate_allows(&arb->rate, false, now_us))
		return false;
	if (forecast_streams(arb) < arb->capacity)
		return true;
	/* The slot of a revoked stream becomes free within two steps. */
	return revoke_one(arb, out);
}

static void
grant_online(struct arbiter *arb, const struct admission_request *req,
    int64_t now_us, GArray *out)
{
	grant_add(arb, req, now_us);
	start_rate_record(&arb->rate, now_us);
	emit(out, kArbiterGranted, req, 0);
	shed_batch(arb, now_us, out);
}

static void
admit_online(struct arbiter *arb, int64_t now_us, GArray *out)
{
	while (!g_sequence_is_empty(arb->online_queue)) {
		struct queued_online *qo = g_sequence_get(
		    g_sequence_get_begin_iter(arb->online_queue));
		struct admission_request req = qo->req;

		if (start_is_blocked(arb, &req) ||
		    !online_has_slot(arb, now_us, out))
			return;
		g_sequence_remove(qo->place);
		g_hash_table_remove(arb->online_by_id, &req.id);
		grant_online(arb, &req, now_us, out);
	}
}

static void
schedule(struct arbiter *arb, int64_t now_us, GArray *out)
{
	admit_online(arb, now_us, out);
	admit_batch(arb, now_us, out);
}

static int
compare_deadline(const void *a, const void *b, void *ctx)
{
	const struct queued_online *x = a;
	const struct queued_online *y = b;

	if (x->req.deadline_us != y->req.deadline_us)
		return x->req.deadline_us < y->req.deadline_us ? -1 : 1;
	return (x->req.id > y->req.id) - (x->req.id < y->req.id);
}

static void
queue_online(struct arbiter *arb, const struct admission_request *req,
    int64_t now_us, GArray *out)
{
	struct queued_online *qo;
	int64_t ready_us = now_us + arbiter_queue_wait_us(arb, now_us);

	if ((int32_t)g_hash_table_size(arb->online_by_id) >=
		arb->opt.online_queue_max ||
	    ready_us > req->deadline_us) {
		refuse(arb, req, now_us, out);
		return;
	}
	qo = g_new0(struct queued_online, 1);
	qo->req = *req;
	qo->place = g_sequence_insert_sorted(
	    arb->online_queue, qo, compare_deadline, NULL);
	g_hash_table_insert(arb->online_by_id, &qo->req.id, qo);
}

static void
request_online(struct arbiter *arb, const struct admission_request *req,
    int64_t now_us, GArray *out)
{
	int64_t wait_us = arbiter_start_wait_us(arb, now_us);

	if (wait_us > kBusyWaitUs && !req->is_last_resort) {
		emit(out, kArbiterBusy, req, wait_us);
		return;
	}
	forecast_record_arrival(arb, req, now_us);
	if (g_sequence_is_empty(arb->online_queue) &&
	    !start_is_blocked(arb, req) && online_has_slot(arb, now_us, out))
		grant_online(arb, req, now_us, out);
	else
		queue_online(arb, req, now_us, out);
}

static void
request_batch(struct arbiter *arb, const struct admission_request *req,
    int64_t now_us, GArray *out)
{
	if (fair_queue_length(arb->batch_queue) >= arb->opt.batch_queue_max) {
		refuse(arb, req, now_us, out);
		return;
	}
	fair_queue_push(arb->batch_queue, req);
	admit_batch(arb, now_us, out);
}

static bool
is_known(struct arbiter *arb, uint64_t id)
{
	return g_hash_table_contains(arb->grants, &id) ||
	    g_hash_table_contains(arb->online_by_id, &id);
}

void
arbiter_request(struct arbiter *arb, const struct admission_request *req,
    int64_t now_us, GArray *out)
{
	if (is_known(arb, req->id))
		return;
	if (arb->is_leaving) {
		reject_leaving(req, out);
		return;
	}
	if (req->work_class == kWorkOnline) {
		request_online(arb, req, now_us, out);
		return;
	}
	fair_queue_remove(arb->batch_queue, req->id);
	request_batch(arb, req, now_us, out);
}

void
arbiter_adopt(struct arbiter *arb, const struct admission_request *req,
    bool has_first_token, int64_t now_us, GArray *out)
{
	struct grant *gr;

	if (is_known(arb, req->id))
		return;
	fair_queue_remove(arb->batch_queue, req->id);
	gr = grant_add(arb, req, now_us);
	gr->is_adopted = true;
	if (has_first_token)
		grant_set_first_token(arb, gr);
	shed_batch(arb, now_us, out);
}

void
arbiter_first_token(
    struct arbiter *arb, uint64_t id, int64_t now_us, GArray *out)
{
	struct grant *gr = g_hash_table_lookup(arb->grants, &id);

	if (gr == NULL)
		return;
	grant_set_first_token(arb, gr);
	schedule(arb, now_us, out);
}

static void
record_hold_time(struct arbiter *arb, const struct grant *gr, int64_t now_us)
{
	int64_t hold_us = now_us - gr->granted_us;

	if (gr->req.work_class == kWorkOnline)
		arb->mean_hold_us +=
		    (hold_us - arb->mean_hold_us) / (1 << kMeanShift);
}

static void
withdraw(struct arbiter *arb, uint64_t id)
{
	struct queued_online *qo = g_hash_table_lookup(arb->online_by_id, &id);

	if (qo == NULL) {
		fair_queue_remove(arb->batch_queue, id);
		return;
	}
	g_sequence_remove(qo->place);
	g_hash_table_remove(arb->online_by_id, &id);
}

void
arbiter_release(struct arbiter *arb, uint64_t id, int64_t now_us, GArray *out)
{
	struct grant *gr = g_hash_table_lookup(arb->grants, &id);

	if (gr == NULL) {
		withdraw(arb, id);
		return;
	}
	record_hold_time(arb, gr, now_us);
	grant_remove(arb, gr);
	schedule(arb, now_us, out);
}

void
arbiter_remove_holder(
    struct arbiter *arb, uint32_t holder, int64_t now_us, GArray *out)
{
	GPtrArray *matches = g_ptr_array_new();
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, arb->grants);
	while (g_hash_table_iter_next(&it, NULL, &val))
		if (((struct grant *)val)->req.holder == holder)
			g_ptr_array_add(matches, val);
	for (guint i = 0; i < matches->len; i++)
		grant_remove(arb, matches->pdata[i]);
	g_ptr_array_set_size(matches, 0);
	g_hash_table_iter_init(&it, arb->online_by_id);
	while (g_hash_table_iter_next(&it, NULL, &val))
		if (((struct queued_online *)val)->req.holder == holder)
			g_ptr_array_add(matches, val);
	for (guint i = 0; i < matches->len; i++)
		withdraw(
		    arb, ((struct queued_online *)matches->pdata[i])->req.id);
	g_ptr_array_unref(matches);
	fair_queue_remove_holder(arb->batch_queue, holder);
	schedule(arb, now_us, out);
}

static void
reject_queued(struct arbiter *arb, GArray *out)
{
	struct admission_request req;

	while (!g_sequence_is_empty(arb->online_queue)) {
		struct queued_online *qo = g_sequence_get(
		    g_sequence_get_begin_iter(arb->online_queue));

		reject_leaving(&qo->req, out);
		withdraw(arb, qo->req.id);
	}
	while (fair_queue_pop(arb->batch_queue, 0, &req))
		reject_leaving(&req, out);
}

void
arbiter_set_leaving(
    struct arbiter *arb, bool is_leaving, int64_t now_us, GArray *out)
{
	if (is_leaving && !arb->is_leaving)
		reject_queued(arb, out);
	arb->is_leaving = is_leaving;
}

void
arbiter_observe_step(struct arbiter *arb, int32_t streams,
    int32_t prompt_tokens, int64_t step_us)
{
	int64_t model_us =
	    engine_cost_step_us(&arb->opt.cost, streams, prompt_tokens);
	int64_t scale = step_us * kScaleOne / MAX(model_us, 1);

	arb->cost_scale += (scale - arb->cost_scale) / 8;
	arb->cost_scale = CLAMP(arb->cost_scale, kCostScaleMin, kCostScaleMax);
	update_capacity(arb);
}

static void
expire_queue(struct arbiter *arb, int64_t now_us, GArray *out)
{
	while (!g_sequence_is_empty(arb->online_queue)) {
		struct queued_online *qo = g_sequence_get(
		    g_sequence_get_begin_iter(arb->online_queue));

		if (qo->req.deadline_us > now_us)
			return;
		refuse(arb, &qo->req, now_us, out);
		withdraw(arb, qo->req.id);
	}
}

static void
expire_grants(struct arbiter *arb, int64_t now_us)
{
	GPtrArray *expired;
	GHashTableIter it;
	void *val;

	if (now_us < arb->next_expiry_us)
		return;
	arb->next_expiry_us = now_us + kExpiryPeriodUs;
	expired = g_ptr_array_new();
	g_hash_table_iter_init(&it, arb->grants);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct grant *gr = val;

		if (now_us - gr->granted_us > arb->opt.grant_lease_us)
			g_ptr_array_add(expired, gr);
	}
	for (guint i = 0; i < expired->len; i++)
		grant_remove(arb, expired->pdata[i]);
	g_ptr_array_unref(expired);
}

void
arbiter_tick(struct arbiter *arb, int64_t now_us, GArray *out)
{
	expire_queue(arb, now_us, out);
	expire_grants(arb, now_us);
	forecast_update_prefill(arb, now_us);
	shed_batch(arb, now_us, out);
	schedule(arb, now_us, out);
}

/* Proofs that the routes in force are the newest. */
#include "gateway/freshness/proof_exchange.h"

#include "log/log.h"
#include "metric/metric.h"
#include "savoryflow/freshness/freshness.h"

enum {
	/* A read of the store takes 4 ms, 60 ms more from another region. */
	kHoldMaxUs = 250 * kUsPerMs,
	/* The requests that wait are looked at again so often. */
	kHeldCheckUs = 20 * kUsPerMs,
	/* Bounds what requests that wait cost. */
	kHeldMax = 1000,
	/* Peers asked in a round. */
	kNearAsked = 2,
	/* One of this many rounds also goes to any data centre: all of the own
	 * one may be cut off from the store. */
	kFarRoundEvery = 2,
	/* Questions without an answer yet. */
	kQuestionsMax = 16,
};

struct question {
	uint64_t id;
	int64_t sent_us;
};

struct held {
	struct proof_exchange *px;
	struct front_request *req;
	void (*resume)(void *ctx, struct front_request *req);
	void *ctx;
};

struct proof_exchange {
	struct proof_exchange_options opt;
	struct freshness *fr;
	struct question questions[kQuestionsMax];
	guint next_question;
	guint next_peer;
	guint rounds;
	/** struct held. */
	GPtrArray *held;
	uint64_t held_timer;
	/** The proof was recent enough at the last look, and since when it is
	 * not. */
	bool was_fresh;
	bool is_stale;
	int64_t stale_since_us;
};

struct proof_exchange *
proof_exchange_new(const struct proof_exchange_options *opt)
{
	struct proof_exchange *px = g_new0(struct proof_exchange, 1);

	px->opt = *opt;
	px->fr = freshness_new(opt->bound_us);
	px->held = g_ptr_array_new();
	px->next_peer = g_random_int();
	return px;
}

void
proof_exchange_free(struct proof_exchange *px)
{
	if (px == NULL)
		return;
	loop_timer_cancel(px->opt.lp, px->held_timer);
	g_ptr_array_set_free_func(px->held, g_free);
	g_ptr_array_unref(px->held);
	freshness_free(px->fr);
	g_free(px);
}

static int64_t
now_us(const struct proof_exchange *px)
{
	return clock_boot_us(px->opt.clk);
}

static void
ask(struct proof_exchange *px, const char *to, int64_t at_us)
{
	struct question *q =
	    &px->questions[px->next_question++ % kQuestionsMax];
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__ProofAsk wire = SFPEER__PROOF_ASK__INIT;

	q->id = (uint64_t)g_random_int() << 32 | g_random_int();
	q->sent_us = at_us;
	wire.id = q->id;
	env.proof_ask = &wire;
	metric_add(kMetProofAsks, 1);
	px->opt.wire->send(px->opt.wire_ctx, to, &env);
}

static guint
ask_some(struct proof_exchange *px, const char *data_center, guint count,
    int64_t at_us)
{
	GPtrArray *peers =
	    roster_peers(px->opt.roster, data_center, loop_now_us(px->opt.lp));
	guint n = MIN(count, peers->len);

	for (guint i = 0; i < n; i++)
		ask(px, peers->pdata[px->next_peer++ % peers->len], at_us);
	g_ptr_array_unref(peers);
	return n;
}

static void
ask_peers(struct proof_exchange *px, int64_t at_us)
{
	guint n = ask_some(px, px->opt.data_center, kNearAsked, at_us);

	freshness_asked(px->fr, at_us);
	if (n == 0 || ++px->rounds % kFarRoundEvery == 0)
		ask_some(px, NULL, kNearAsked, at_us);
}

/* @param is_wanted a request waits for a proof */
static void
improve(struct proof_exchange *px, bool is_wanted)
{
	int64_t at_us = now_us(px);

	if (freshness_read_is_due(px->fr, is_wanted, at_us)) {
		freshness_read_started(px->fr, at_us);
		metric_add(kMetProofReads, 1);
		px->opt.read(px->opt.ctx);
	}
	if (freshness_ask_is_due(px->fr, is_wanted, at_us))
		ask_peers(px, at_us);
}

/* Logs when the proof becomes too old, and when it is recent again. */
static bool
look(struct proof_exchange *px)
{
	int64_t at_us = now_us(px);
	bool is_fresh = freshness_admits(px->fr, at_us);

	if (!is_fresh && px->was_fresh) {
		px->stale_since_us = at_us;
		px->is_stale = true;
		log_event(kEvtProofStale, "age_us",
		    log_number(freshness_age_us(px->fr, at_us)), "bound_us",
		    log_number(px->opt.bound_us), "is_behind",
		    freshness_is_behind(px->fr) ? "yes" : "no", NULL);
	} else if (is_fresh && px->is_stale) {
		px->is_stale = false;
		log_event(kEvtProofFresh, "age_us",
		    log_number(freshness_age_us(px->fr, at_us)), "stale_us",
		    log_number(at_us - px->stale_since_us), NULL);
	}
	px->was_fresh = is_fresh;
	return is_fresh;
}

void
proof_exchange_tick(struct proof_exchange *px)
{
	int64_t age_us;

	look(px);
	improve(px, false);
	age_us = freshness_age_us(px->fr, now_us(px));
	metric_set(kMetProofAge, age_us < 0 ? -1 : age_us / kUsPerMs);
}

static void
on_disconnect(void *data)
{
	struct held *h = data;

	g_ptr_array_remove_fast(h->px->held, h);
	g_free(h);
}

/* Each request is looked at again; some may be held anew. */
static void
resume_held(struct proof_exchange *px)
{
	GPtrArray *list = px->held;

	if (list->len == 0)
		return;
	px->held = g_ptr_array_new();
	for (guint i = 0; i < list->len; i++) {
		struct held *h = list->pdata[i];

		front_on_disconnect(h->req, NULL, NULL);
		h->resume(h->ctx, h->req);
		g_free(h);
	}
	g_ptr_array_unref(list);
}

static void
on_held_timer(void *ctx)
{
	struct proof_exchange *px = ctx;

	px->held_timer = 0;
	resume_held(px);
}

void
proof_exchange_on_routes(struct proof_exchange *px, int64_t row_version)
{
	freshness_set_version(px->fr, row_version);
	look(px);
	resume_held(px);
}

void
proof_exchange_on_proof(
    struct proof_exchange *px, int64_t sent_us, int64_t row_version)
{
	freshness_record_read(px->fr, sent_us, row_version);
	look(px);
	resume_held(px);
}

void
proof_exchange_on_read(struct proof_exchange *px, bool is_ok)
{
	freshness_read_ended(px->fr, is_ok, now_us(px));
	/* Peers may help now. */
	if (px->held->len > 0)
		improve(px, true);
	resume_held(px);
}

static void
answer(struct proof_exchange *px, const char *to, uint64_t id)
{
	int64_t at_us = now_us(px);
	struct freshness_proof proof = freshness_best(px->fr, at_us);
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__Proof wire = SFPEER__PROOF__INIT;

	if (proof.version == 0)
		return;
	wire.id = id;
	wire.age_us = (uint64_t)MAX(at_us - proof.sent_us, 0);
	wire.version = (uint64_t)proof.version;
	env.proof = &wire;
	px->opt.wire->send(px->opt.wire_ctx, to, &env);
}

static void
on_answer(
    struct proof_exchange *px, const char *from, const Sfpeer__Proof *wire)
{
	struct question *q = NULL;

	for (guint i = 0; i < kQuestionsMax; i++)
		if (px->questions[i].id == wire->id)
			q = &px->questions[i];
	/* An answer to an older question, or to one of an earlier process. */
	if (q == NULL || wire->id == 0)
		return;
	if (!freshness_record_answer(px->fr, q->sent_us, (int64_t)wire->age_us,
		(int64_t)wire->version)) {
		log_event(kEvtConfigBehind, "peer", from, "row_version",
		    log_number((int64_t)wire->version), NULL);
		px->opt.fetch(px->opt.ctx, from);
	}
	q->id = 0;
	look(px);
	resume_held(px);
}

void
proof_exchange_on_envelope(
    struct proof_exchange *px, const Sfpeer__Envelope *env)
{
	if (env->proof_ask != NULL)
		answer(px, env->from, env->proof_ask->id);
	if (env->proof != NULL)
		on_answer(px, env->from, env->proof);
}

bool
proof_exchange_admits(struct proof_exchange *px)
{
	return look(px);
}

bool
proof_exchange_shows_unknown(const struct proof_exchange *px)
{
	return freshness_shows_unknown(px->fr, now_us(px));
}

bool
proof_exchange_improve(struct proof_exchange *px)
{
	improve(px, true);
	return freshness_may_improve(px->fr, now_us(px));
}

bool
proof_exchange_hold(struct proof_exchange *px, struct front_request *req,
    void (*resume)(void *ctx, struct front_request *req), void *ctx)
{
	int64_t mono_us = loop_now_us(px->opt.lp);
	struct held *h;

	if (!proof_exchange_improve(px) || px->held->len >= kHeldMax ||
	    mono_us - front_received_us(req) > kHoldMaxUs)
		return false;
	h = g_new(struct held, 1);
	*h = (struct held){px, req, resume, ctx};
	g_ptr_array_add(px->held, h);
	front_on_disconnect(req, on_disconnect, h);
	if (px->held_timer == 0)
		px->held_timer = loop_timer(
		    px->opt.lp, mono_us + kHeldCheckUs, on_held_timer, px);
	return true;
}

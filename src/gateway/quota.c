/* Requests for the tokens of a route, and reports of those that wait. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "gateway/quota_internal.h"
#include "log/log.h"
#include "os/text_copy.h"
#include "savoryflow/arbiter/u64_hash.h"

enum {
	/* The counting daemon may be in another region, and may first have to
	 * read the open jobs. */
	kAnswerTimeoutUs = 450 * kUsPerMs,
	kAsksMax = 3,
	/* Over all daemons that are asked: some submitters leave after 1 s, and
	 * the store is called after the answer. */
	kWaitMaxUs = 800 * kUsPerMs,
	kSuspectUs = 4 * kUsPerS,
	/* A daemon that could not count is not asked for this time. */
	kAvoidUs = 5 * kUsPerS,
	/* Daemons that may count a route's tokens, in order. */
	kCountersMax = 4,
	kReportsPerMessage = 100,
	/* Shorter than the period in which callers ask for connections. */
	kConnectAllPeriodUs = kUsPerS,
};

struct quota_wait {
	struct quota *qt;
	uint64_t id;
	char *route;
	struct quota_ask ask;
	char counter[kFleetAddressMax];
	int64_t started_us;
	int64_t asked_us;
	int32_t asks;
	uint64_t timer;
	quota_answer_fn fn;
	void *ctx;
};

static void
wait_free(void *p)
{
	struct quota_wait *qw = p;

	loop_timer_cancel(qw->qt->opt.lp, qw->timer);
	g_free(qw->route);
	g_free(qw->ask.job);
	g_free(qw);
}

struct quota *
quota_new(const struct quota_options *opt)
{
	struct quota *qt = g_new0(struct quota, 1);

	qt->opt = *opt;
	qt->next_id = roster_session_hash(opt->session);
	qt->waits = u64_hash_new(wait_free);
	qt->reports =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	qt->avoided =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	qt->hosted = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, quota_host_free);
	return qt;
}

void
quota_free(struct quota *qt)
{
	g_hash_table_unref(qt->waits);
	g_hash_table_unref(qt->reports);
	g_hash_table_unref(qt->avoided);
	g_hash_table_unref(qt->hosted);
	g_free(qt);
}

char *
quota_route_name(const char *host, const char *prefix, const char *team)
{
	uint64_t hash = XXH3_64bits(host, strlen(host));

	hash = XXH3_64bits_withSeed(prefix, strlen(prefix), hash);
	if (*team != '\0')
		hash = XXH3_64bits_withSeed(team, strlen(team), hash);
	return g_strdup_printf("%016" PRIx64, hash);
}

static bool
is_avoided(const struct quota *qt, const char *address, int64_t now_us)
{
	const int64_t *until_us = g_hash_table_lookup(qt->avoided, address);

	return until_us != NULL && *until_us > now_us;
}

static void
avoid(struct quota *qt, const char *address)
{
	int64_t *until_us = g_new(int64_t, 1);

	*until_us = loop_now_us(qt->opt.lp) + kAvoidUs;
	g_hash_table_replace(qt->avoided, g_strdup(address), until_us);
}

/* The daemon that counts a route's tokens: the first of those elected that has
 * not failed to. */
static const char *
counter_of(const struct quota *qt, const char *route)
{
	int64_t now_us = loop_now_us(qt->opt.lp);
	const char *counter = NULL;

	for (int i = 0; i < kCountersMax; i++) {
		char *key = g_strdup_printf("quota-%d-%s", i, route);

		counter =
		    roster_owner_reaching_store(qt->opt.roster, key, now_us);
		g_free(key);
		if (!is_avoided(qt, counter, now_us))
			break;
	}
	return counter;
}

static void
send_ask(struct quota *qt, const struct quota_wait *qw)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__QuotaAsk wire = SFPEER__QUOTA_ASK__INIT;
	Sfpeer__QuotaAsk *list[] = {&wire};

	wire.id = qw->id;
	wire.route = qw->route;
	wire.job = qw->ask.job;
	wire.tokens = qw->ask.tokens;
	wire.limit = qw->ask.limit;
	wire.stale_fence = qw->ask.stale_fence;
	env.n_quota_asks = 1;
	env.quota_asks = list;
	qt->opt.wire->send(qt->opt.wire_ctx, qw->counter, &env);
}

static void on_timeout(void *ctx);

static int64_t
wait_until_us(const struct quota_wait *qw)
{
	return MIN(
	    qw->asked_us + kAnswerTimeoutUs, qw->started_us + kWaitMaxUs);
}

static void
ask_counter(struct quota *qt, struct quota_wait *qw)
{
	text_copy_or_none(
	    qw->counter, sizeof(qw->counter), counter_of(qt, qw->route));
	qw->asked_us = loop_now_us(qt->opt.lp);
	qw->asks++;
	loop_timer_cancel(qt->opt.lp, qw->timer);
	qw->timer = loop_timer(qt->opt.lp, wait_until_us(qw), on_timeout, qw);
	if (strcmp(qw->counter, qt->opt.address) == 0)
		quota_host_ask(qt, qw->route, &qw->ask);
	else
		send_ask(qt, qw);
}

struct posted_ask {
	struct quota *qt;
	uint64_t id;
};

static void
ask_posted(void *ctx)
{
	struct posted_ask *posted = ctx;
	struct quota_wait *qw =
	    g_hash_table_lookup(posted->qt->waits, &posted->id);

	if (qw != NULL)
		ask_counter(posted->qt, qw);
	g_free(posted);
}

uint64_t
quota_reserve(struct quota *qt, const struct quota_request *request,
    quota_answer_fn fn, void *ctx)
{
	struct quota_wait *qw = g_new0(struct quota_wait, 1);
	struct posted_ask *posted = g_new(struct posted_ask, 1);

	qw->qt = qt;
	qw->id = ++qt->next_id;
	qw->started_us = loop_now_us(qt->opt.lp);
	qw->route = g_strdup(request->route);
	text_copy_or_none(qw->ask.from, sizeof(qw->ask.from), qt->opt.address);
	qw->ask.id = qw->id;
	qw->ask.job = g_strdup(request->job);
	qw->ask.tokens = request->tokens;
	qw->ask.limit = request->limit;
	qw->ask.stale_fence = request->stale_fence;
	qw->fn = fn;
	qw->ctx = ctx;
	g_hash_table_insert(qt->waits, &qw->id, qw);
	*posted = (struct posted_ask){qt, qw->id};
	loop_post(qt->opt.lp, ask_posted, posted);
	return qw->id;
}

void
quota_cancel(struct quota *qt, uint64_t id)
{
	g_hash_table_remove(qt->waits, &id);
}

static void
deliver(struct quota *qt, uint64_t id, const struct quota_answer *answer)
{
	struct quota_wait *qw = g_hash_table_lookup(qt->waits, &id);
	quota_answer_fn fn;
	void *ctx;

	if (qw == NULL)
		return;
	fn = qw->fn;
	ctx = qw->ctx;
	g_hash_table_remove(qt->waits, &id);
	fn(ctx, answer);
}

/* @return false if no other daemon is to be asked */
static bool
ask_another(struct quota *qt, struct quota_wait *qw)
{
	int64_t waited_us = loop_now_us(qt->opt.lp) - qw->started_us;

	if (qw->asks >= kAsksMax || waited_us >= kWaitMaxUs)
		return false;
	ask_counter(qt, qw);
	return true;
}

static void
handle_answer(struct quota *qt, uint64_t id, const struct quota_answer *answer)
{
	struct quota_wait *qw = g_hash_table_lookup(qt->waits, &id);

	if (qw == NULL)
		return;
	if (answer->verdict == kQuotaUnavailable) {
		avoid(qt, qw->counter);
		if (ask_another(qt, qw))
			return;
	}
	deliver(qt, id, answer);
}

void
quota_send_answer(struct quota *qt, const struct quota_ask *ask,
    const struct quota_answer *answer)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__QuotaAnswer wire = SFPEER__QUOTA_ANSWER__INIT;
	Sfpeer__QuotaAnswer *list[] = {&wire};

	if (strcmp(ask->from, qt->opt.address) == 0) {
		handle_answer(qt, ask->id, answer);
		return;
	}
	wire.id = ask->id;
	wire.verdict = answer->verdict;
	wire.fence = answer->fence;
	wire.retry_after_us = answer->retry_after_us;
	env.n_quota_answers = 1;
	env.quota_answers = list;
	qt->opt.wire->send(qt->opt.wire_ctx, ask->from, &env);
}

static void
connect_all(struct quota *qt)
{
	int64_t now_us = loop_now_us(qt->opt.lp);
	GPtrArray *peers;

	/* One daemon may count for many routes and teams. */
	if (qt->all_connected_us != 0 &&
	    now_us - qt->all_connected_us < kConnectAllPeriodUs)
		return;
	qt->all_connected_us = now_us;
	peers = roster_peers(qt->opt.roster, NULL, now_us);
	for (guint i = 0; i < peers->len; i++)
		qt->opt.wire->connect(qt->opt.wire_ctx, peers->pdata[i]);
	g_ptr_array_unref(peers);
}

/* A connection to another region takes longer to open than an answer may
 * take, so both directions are kept open. */
void
quota_prepare(struct quota *qt, const char *route, bool must_connect)
{
	const char *counter = counter_of(qt, route);
	bool is_elected = strcmp(counter, qt->opt.address) == 0;

	quota_host_prepare(qt, route, is_elected);
	if (must_connect && is_elected)
		connect_all(qt);
	if (must_connect && !is_elected)
		qt->opt.wire->connect(qt->opt.wire_ctx, counter);
}

void
quota_report(
    struct quota *qt, const char *route, const char *job, int64_t tokens)
{
	int64_t *value = g_new(int64_t, 1);

	*value = tokens;
	g_hash_table_replace(
	    qt->reports, g_strdup_printf("%s %s", route, job), value);
}

/* A message under construction for the counter of one route. */
struct report_batch {
	Sfpeer__QuotaReport wire[kReportsPerMessage];
	Sfpeer__QuotaReport *refs[kReportsPerMessage];
	char *texts[kReportsPerMessage];
	guint count;
	char counter[kFleetAddressMax];
};

static void
send_batch(struct quota *qt, struct report_batch *batch)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;

	if (batch->count == 0)
		return;
	env.n_quota_reports = batch->count;
	env.quota_reports = batch->refs;
	qt->opt.wire->send(qt->opt.wire_ctx, batch->counter, &env);
	for (guint i = 0; i < batch->count; i++)
		g_free(batch->texts[i]);
	batch->count = 0;
}

static void
add_report(struct quota *qt, struct report_batch *batch, const char *name,
    int64_t tokens)
{
	char *text = g_strdup(name);
	char *job = strchr(text, ' ');
	const char *counter;
	Sfpeer__QuotaReport *wire;

	*job++ = '\0';
	counter = counter_of(qt, text);
	if (strcmp(counter, qt->opt.address) == 0) {
		quota_host_report(qt, text, job, tokens);
		g_free(text);
		return;
	}
	if (batch->count == kReportsPerMessage ||
	    strcmp(batch->counter, counter) != 0)
		send_batch(qt, batch);
	text_copy_or_none(batch->counter, sizeof(batch->counter), counter);
	wire = &batch->wire[batch->count];
	sfpeer__quota_report__init(wire);
	wire->route = text;
	wire->job = job;
	wire->tokens = tokens;
	batch->refs[batch->count] = wire;
	batch->texts[batch->count++] = text;
}

static void
send_reports(struct quota *qt)
{
	struct report_batch batch = {.count = 0};
	GHashTableIter it;
	void *name;
	void *tokens;

	g_hash_table_iter_init(&it, qt->reports);
	while (g_hash_table_iter_next(&it, &name, &tokens))
		add_report(qt, &batch, name, *(int64_t *)tokens);
	send_batch(qt, &batch);
	g_hash_table_remove_all(qt->reports);
}

static void
on_timeout(void *ctx)
{
	struct quota_wait *qw = ctx;
	struct quota *qt = qw->qt;
	int64_t now_us = loop_now_us(qt->opt.lp);
	struct quota_answer answer = {.verdict = kQuotaUnavailable};

	qw->timer = 0;
	log_event(kEvtQuotaSilent, "job", qw->ask.job, "counter", qw->counter,
	    "waited_us", log_number(now_us - qw->asked_us), NULL);
	/* The last one asked may have had less time than an answer takes. */
	if (now_us - qw->asked_us >= kAnswerTimeoutUs) {
		avoid(qt, qw->counter);
		roster_suspect(
		    qt->opt.roster, qw->counter, now_us + kSuspectUs);
		qt->opt.wire->reconnect(qt->opt.wire_ctx, qw->counter);
	}
	if (!ask_another(qt, qw))
		deliver(qt, qw->id, &answer);
}

void
quota_tick(struct quota *qt)
{
	send_reports(qt);
	quota_host_tick(qt, loop_now_us(qt->opt.lp));
}

static void
on_wire_ask(struct quota *qt, const char *from, const Sfpeer__QuotaAsk *wire)
{
	struct quota_ask ask = {
	    .id = wire->id,
	    .job = wire->job,
	    .tokens = wire->tokens,
	    .limit = wire->limit,
	    .stale_fence = wire->stale_fence,
	};

	text_copy_or_none(ask.from, sizeof(ask.from), from);
	quota_host_ask(qt, wire->route, &ask);
}

/* An ask keeps its id when another daemon is asked. */
static bool
is_counter(const struct quota *qt, uint64_t id, const char *from)
{
	const struct quota_wait *qw = g_hash_table_lookup(qt->waits, &id);

	return qw != NULL && strcmp(qw->counter, from) == 0;
}

void
quota_on_envelope(struct quota *qt, const Sfpeer__Envelope *env)
{
	for (size_t i = 0; i < env->n_quota_reports; i++)
		quota_host_report(qt, env->quota_reports[i]->route,
		    env->quota_reports[i]->job, env->quota_reports[i]->tokens);
	for (size_t i = 0; i < env->n_quota_asks; i++)
		on_wire_ask(qt, env->from, env->quota_asks[i]);
	for (size_t i = 0; i < env->n_quota_answers; i++) {
		const Sfpeer__QuotaAnswer *wire = env->quota_answers[i];
		struct quota_answer answer = {
		    .verdict = (enum quota_verdict)wire->verdict,
		    .fence = wire->fence,
		    .retry_after_us = wire->retry_after_us,
		};

		if (is_counter(qt, wire->id, env->from))
			handle_answer(qt, wire->id, &answer);
	}
}

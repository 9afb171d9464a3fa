/* Keeps requests from targets that they would crash. */
#include "gateway/crash_guard.h"

#include <inttypes.h>
#include <string.h>

#include "gateway/connect_probe.h"
#include "log/log.h"
#include "metric/metric.h"
#include "os/text_copy.h"
#include "peer/blame_wire.h"

enum {
	/* Keys that name the coordinators, until two daemons are found. */
	kCoordinatorKeysMax = 8,
	/* Daemons stop being alive with time; other changes of the roster are
	 * seen at once. */
	kRolePeriodUs = kUsPerS,
};

struct crash_guard {
	struct crash_guard_options opt;
	struct connect_probes *probes;
	struct blame *blame;
	struct blame_out *out;
	/** The coordinators; empty if there is none. */
	char primary[kFleetAddressMax];
	char second[kFleetAddressMax];
	uint64_t roster_epoch;
	int64_t role_at_us;
	/** Addresses of the coordinators other than this daemon. */
	GPtrArray *coordinators;
	bool is_closing;
};

/** A lost run whose target is being probed. */
struct lost_run {
	struct crash_guard *cg;
	char *request;
	struct blame_run run;
};

struct crash_guard *
crash_guard_new(const struct crash_guard_options *opt)
{
	struct crash_guard *cg = g_new0(struct crash_guard, 1);

	cg->opt = *opt;
	cg->probes = connect_probes_new(opt->lp);
	cg->blame = blame_new(opt->address);
	cg->out = blame_out_new();
	cg->coordinators = g_ptr_array_new_with_free_func(g_free);
	return cg;
}

void
crash_guard_free(struct crash_guard *cg)
{
	cg->is_closing = true;
	connect_probes_free(cg->probes);
	g_ptr_array_unref(cg->coordinators);
	blame_out_free(cg->out);
	blame_free(cg->blame);
	g_free(cg);
}

void
crash_guard_keys(const char *uri, GBytes *body,
    const struct prompt_parts *parts, bool is_owed, struct blame_keys *keys)
{
	gsize len = 0;
	const char *data = body != NULL ? g_bytes_get_data(body, &len) : NULL;

	/* An item is not blocked by calls that are like it. */
	keys->keys[0] = blame_request_key(uri, data, len) ^ (uint64_t)is_owed;
	keys->count = 1;
	keys->is_owed = is_owed;
	for (int32_t i = 0; i < parts->count && keys->count < kBlameKeysMax;
	     i++)
		keys->keys[keys->count++] = parts->ids[i];
}

static GPtrArray *
all_peers(struct crash_guard *cg)
{
	return roster_peers(cg->opt.roster, NULL, loop_now_us(cg->opt.lp));
}

/* Sends what the last call on the blame module left. */
static void
send_out(struct crash_guard *cg)
{
	struct blame_wire_options opt = {
	    loop_now_us(cg->opt.lp), cg->opt.wire->send, cg->opt.wire_ctx};
	GPtrArray *peers = all_peers(cg);

	blame_wire_send(&opt, cg->out, cg->coordinators, peers);
	g_ptr_array_unref(peers);
	blame_out_clear(cg->out);
}

static void
flush(struct crash_guard *cg)
{
	if (cg->out->runs->len > 0 || cg->out->notes->len > 0)
		send_out(cg);
	blame_wire_log_cases(cg->blame);
}

enum blame_verdict
crash_guard_check(struct crash_guard *cg, const struct blame_keys *keys,
    bool will_send, uint64_t *key)
{
	enum blame_verdict verdict = blame_check(
	    cg->blame, keys, will_send, loop_now_us(cg->opt.lp), cg->out, key);

	flush(cg);
	return verdict;
}

void
crash_guard_on_begun(
    struct crash_guard *cg, const struct blame_keys *keys, int64_t sent_us)
{
	blame_record_begun(
	    cg->blame, keys, sent_us, loop_now_us(cg->opt.lp), cg->out);
	flush(cg);
}

static void
log_lost_run(const struct lost_run *lost, enum connect_result result)
{
	static const char *const result_names[] = {
	    [kConnectAccepted] = "no",
	    [kConnectRefused] = "yes",
	    [kConnectUnknown] = "unknown",
	};
	const struct blame_run *run = &lost->run;
	GString *parts = g_string_new(NULL);

	for (int32_t i = 1; i < run->keys.count; i++)
		g_string_append_printf(
		    parts, "%s%" PRIx64, i > 1 ? "," : "", run->keys.keys[i]);
	log_event(kEvtRunLost, "request", lost->request, "target", run->target,
	    "target_ended", result_names[result], "parts", parts->str, "run_us",
	    log_number(run->ended_us - run->sent_us), NULL);
	g_string_free(parts, TRUE);
}

static void
on_probed(void *ctx, enum connect_result result)
{
	struct lost_run *lost = ctx;
	struct crash_guard *cg = lost->cg;

	if (!cg->is_closing) {
		lost->run.has_target_ended = result == kConnectRefused;
		log_lost_run(lost, result);
		blame_record_run(
		    cg->blame, &lost->run, loop_now_us(cg->opt.lp), cg->out);
		flush(cg);
	}
	g_free(lost->request);
	g_free(lost);
}

void
crash_guard_on_lost_run(struct crash_guard *cg, const char *request,
    const struct blame_keys *keys, const struct relay_lost_run *run)
{
	struct lost_run *lost = g_new0(struct lost_run, 1);

	lost->cg = cg;
	lost->run.keys = *keys;
	lost->run.target_started_ms = run->target_started_ms;
	lost->run.sent_us = run->sent_us;
	lost->run.ended_us = loop_now_us(cg->opt.lp);
	lost->request = g_strdup(request);
	text_copy_or_none(
	    lost->run.target, sizeof(lost->run.target), run->target);
	text_copy_or_none(
	    lost->run.seen_by, sizeof(lost->run.seen_by), cg->opt.address);
	connect_probe_start(cg->probes, run->address, on_probed, lost);
}

void
crash_guard_on_envelope(struct crash_guard *cg, const Sfpeer__Envelope *env)
{
	if (env->n_lost_runs == 0 && env->n_blame_notes == 0)
		return;
	blame_wire_receive(cg->blame, env, loop_now_us(cg->opt.lp), cg->out);
	flush(cg);
}

/* Finds the coordinators; the first one is the primary. */
static void
update_role(struct crash_guard *cg)
{
	const char *found[kBlameCoordinators] = {"", ""};
	int32_t count = 0;
	bool is_coordinator = false;

	for (int32_t i = 0;
	     i < kCoordinatorKeysMax && count < kBlameCoordinators; i++) {
		char key[16];
		const char *owner;

		g_snprintf(key, sizeof(key), "blame-%d", i);
		owner = roster_owner(
		    cg->opt.roster, key, NULL, loop_now_us(cg->opt.lp));
		if (count == 0 || strcmp(owner, found[0]) != 0)
			found[count++] = owner;
	}
	if (strcmp(found[0], cg->primary) != 0 ||
	    strcmp(found[1], cg->second) != 0)
		blame_ask(cg->blame, loop_now_us(cg->opt.lp), cg->out);
	text_copy_or_none(cg->primary, sizeof(cg->primary), found[0]);
	text_copy_or_none(cg->second, sizeof(cg->second), found[1]);
	g_ptr_array_set_size(cg->coordinators, 0);
	for (int32_t i = 0; i < count; i++) {
		if (strcmp(found[i], cg->opt.address) == 0)
			is_coordinator = true;
		else
			g_ptr_array_add(cg->coordinators, g_strdup(found[i]));
	}
	blame_set_role(cg->blame, is_coordinator,
	    is_coordinator && strcmp(found[0], cg->opt.address) == 0);
}

static bool
is_role_due(const struct crash_guard *cg, int64_t now_us)
{
	return cg->role_at_us == 0 ||
	    roster_epoch(cg->opt.roster) != cg->roster_epoch ||
	    now_us - cg->role_at_us >= kRolePeriodUs;
}

void
crash_guard_tick(struct crash_guard *cg)
{
	int64_t now_us = loop_now_us(cg->opt.lp);

	if (is_role_due(cg, now_us)) {
		cg->role_at_us = now_us;
		cg->roster_epoch = roster_epoch(cg->opt.roster);
		update_role(cg);
	}
	blame_tick(cg->blame, now_us, cg->out);
	flush(cg);
	metric_set(kMetBlockedKeys, blame_blocked_count(cg->blame));
}

/* Messages that crash engines, as this daemon and the others have seen. */
#include "serve/crash_watch.h"

#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#include "os/json_text.h"
#include "os/text_copy.h"
#include "peer/blame_wire.h"
#include "savoryflow/membership/membership_defs.h"
#include "serve/routes.h"

enum {
	kRolePeriodUs = kUsPerS,
	kTickPeriodUs = 100 * kUsPerMs,
	/* Keys that name the coordinators, until two daemons are found. */
	kCoordinatorKeysMax = 8,
};

struct crash_watch {
	struct daemon *d;
	pthread_mutex_t lock;
	struct blame *blame;
	/** The coordinators; empty if there is none. */
	char coordinators[kBlameCoordinators][kMemberAddressMax];
	int64_t role_at_us;
	int64_t ticked_us;
};

struct crash_watch *
crash_watch_new(struct daemon *d)
{
	struct crash_watch *cw = g_new0(struct crash_watch, 1);

	cw->d = d;
	pthread_mutex_init(&cw->lock, NULL);
	cw->blame = blame_new(d->set->peer_listen);
	return cw;
}

void
crash_watch_free(struct crash_watch *cw)
{
	blame_free(cw->blame);
	pthread_mutex_destroy(&cw->lock);
	g_free(cw);
}

void
crash_watch_keys(uint64_t whole, const char *body, size_t len, bool is_owed,
    struct blame_keys *keys)
{
	json_t *doc = json_text_load_bytes(body, len);
	const json_t *messages = json_object_get(doc, "messages");
	size_t count = json_array_size(messages);

	*keys = (struct blame_keys){{whole}, 1, is_owed};
	for (size_t i = 0; i + 1 < count && keys->count < kBlameKeysMax; i++) {
		char *text = json_dumps(
		    json_array_get(messages, i), JSON_COMPACT | JSON_SORT_KEYS);

		keys->keys[keys->count++] = XXH3_64bits(text, strlen(text));
		free(text);
	}
	json_decref(doc);
}

static void
send_to_peer(void *ctx, const char *to, Sfpeer__Envelope *env)
{
	peer_send(((struct daemon *)ctx)->peer, to, env, kPeerControl);
}

/* The lock is held; the returned addresses are the caller's. */
static GPtrArray *
other_coordinators(const struct crash_watch *cw)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);

	for (int32_t i = 0; i < kBlameCoordinators; i++)
		if (cw->coordinators[i][0] != '\0' &&
		    strcmp(cw->coordinators[i], cw->d->set->peer_listen) != 0)
			g_ptr_array_add(list, g_strdup(cw->coordinators[i]));
	return list;
}

/* Sends what the blame module has left. The lock is not held. */
static void
send_out(struct crash_watch *cw, struct blame_out *out)
{
	struct blame_wire_options opt = {
	    clock_mono_us(cw->d->clk), send_to_peer, cw->d};
	GPtrArray *coordinators;
	GPtrArray *all;

	if (out->runs->len > 0 || out->notes->len > 0) {
		pthread_mutex_lock(&cw->lock);
		coordinators = other_coordinators(cw);
		pthread_mutex_unlock(&cw->lock);
		all = routes_random_peers(cw->d->routes, INT32_MAX);
		blame_wire_send(&opt, out, coordinators, all);
		g_ptr_array_unref(all);
		g_ptr_array_unref(coordinators);
	}
	blame_out_free(out);
}

enum blame_verdict
crash_watch_check(struct crash_watch *cw, const struct blame_keys *keys)
{
	struct blame_out *out = blame_out_new();
	enum blame_verdict verdict;
	uint64_t key;

	pthread_mutex_lock(&cw->lock);
	verdict = blame_check(
	    cw->blame, keys, true, clock_mono_us(cw->d->clk), out, &key);
	pthread_mutex_unlock(&cw->lock);
	send_out(cw, out);
	return verdict;
}

void
crash_watch_record_begun(
    struct crash_watch *cw, const struct blame_keys *keys, int64_t sent_us)
{
	struct blame_out *out = blame_out_new();

	pthread_mutex_lock(&cw->lock);
	blame_record_begun(
	    cw->blame, keys, sent_us, clock_mono_us(cw->d->clk), out);
	pthread_mutex_unlock(&cw->lock);
	send_out(cw, out);
}

void
crash_watch_record_run(struct crash_watch *cw, const struct blame_keys *keys,
    const char *target, int64_t sent_us, int64_t ended_us)
{
	struct blame_out *out = blame_out_new();
	struct blame_run run = {
	    .keys = *keys,
	    .sent_us = sent_us,
	    .ended_us = ended_us,
	    .has_target_ended = true,
	};

	text_copy_or_none(run.target, sizeof(run.target), target);
	text_copy_or_none(
	    run.seen_by, sizeof(run.seen_by), cw->d->set->peer_listen);
	pthread_mutex_lock(&cw->lock);
	blame_record_run(cw->blame, &run, clock_mono_us(cw->d->clk), out);
	blame_wire_log_cases(cw->blame);
	pthread_mutex_unlock(&cw->lock);
	send_out(cw, out);
}

void
crash_watch_on_envelope(struct crash_watch *cw, const Sfpeer__Envelope *env)
{
	struct blame_out *out;

	if (env->n_lost_runs == 0 && env->n_blame_notes == 0)
		return;
	out = blame_out_new();
	pthread_mutex_lock(&cw->lock);
	blame_wire_receive(cw->blame, env, clock_mono_us(cw->d->clk), out);
	blame_wire_log_cases(cw->blame);
	pthread_mutex_unlock(&cw->lock);
	send_out(cw, out);
}

/* The first coordinator is the primary. */
static void
update_role(struct crash_watch *cw, int64_t now_us, struct blame_out *out)
{
	char found[kBlameCoordinators][kMemberAddressMax] = {"", ""};
	const char *self = cw->d->set->peer_listen;
	int32_t count = 0;

	for (int32_t i = 0;
	     i < kCoordinatorKeysMax && count < kBlameCoordinators; i++) {
		char key[16];

		g_snprintf(key, sizeof(key), "blame-%d", i);
		routes_owner(cw->d->routes, key, found[count]);
		if (count == 0 || strcmp(found[0], found[count]) != 0)
			count++;
		else
			found[count][0] = '\0';
	}
	pthread_mutex_lock(&cw->lock);
	if (memcmp(found, cw->coordinators, sizeof(found)) != 0)
		blame_ask(cw->blame, now_us, out);
	memcpy(cw->coordinators, found, sizeof(found));
	blame_set_role(cw->blame,
	    strcmp(found[0], self) == 0 || strcmp(found[1], self) == 0,
	    strcmp(found[0], self) == 0);
	pthread_mutex_unlock(&cw->lock);
}

void
crash_watch_tick(struct crash_watch *cw)
{
	int64_t now_us = clock_mono_us(cw->d->clk);
	struct blame_out *out;

	if (now_us - cw->ticked_us < kTickPeriodUs)
		return;
	cw->ticked_us = now_us;
	out = blame_out_new();
	if (cw->role_at_us == 0 || now_us - cw->role_at_us >= kRolePeriodUs) {
		cw->role_at_us = now_us;
		update_role(cw, now_us, out);
	}
	pthread_mutex_lock(&cw->lock);
	blame_tick(cw->blame, now_us, out);
	blame_wire_log_cases(cw->blame);
	pthread_mutex_unlock(&cw->lock);
	send_out(cw, out);
}

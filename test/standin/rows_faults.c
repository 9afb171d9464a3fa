/* Faults on the ways of single daemons to the rows stand-in. */
#include "rows_faults.h"

#include <pthread.h>
#include <string.h>
#include <sys/socket.h>

enum {
	kSilentMs = 3000,
	/* Longer than a daemon waits for the answer of a change. */
	kLateMinMs = 1100,
	kMixShares = 12,
};

enum way_mode {
	kModePass,
	kModeRefuse,
	kModeTurnAway,
	kModeReset,
	kModeSilent,
	kModeSlow,
	kModeLose,
	kModeLate,
	kModeLater,
	kModeLoseRefuse,
	kModeLaterRefuse,
	kModeHold,
	kModeMix,
	kModeCount,
};

static const char *const mode_names[kModeCount] = {"pass", "refuse",
    "turn_away", "reset", "silent", "slow", "lose", "late", "later",
    "lose_refuse", "later_refuse", "hold", "mix"};

struct way {
	enum way_mode mode;
	int delay_ms;
	GRand *rand;
};

struct rows_faults {
	pthread_mutex_t lock;
	/** struct way by daemon. */
	GHashTable *ways;
};

static void
way_free(void *p)
{
	struct way *way = p;

	g_rand_free(way->rand);
	g_free(way);
}

struct rows_faults *
rows_faults_new(void)
{
	struct rows_faults *rf = g_new0(struct rows_faults, 1);

	pthread_mutex_init(&rf->lock, NULL);
	rf->ways =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, way_free);
	return rf;
}

void
rows_faults_free(struct rows_faults *rf)
{
	g_hash_table_unref(rf->ways);
	pthread_mutex_destroy(&rf->lock);
	g_free(rf);
}

static enum way_mode
mode_of(const char *name)
{
	for (int i = 0; i < kModeCount; i++)
		if (g_strcmp0(name, mode_names[i]) == 0)
			return (enum way_mode)i;
	return kModePass;
}

void
rows_faults_set(struct rows_faults *rf, const json_t *doc)
{
	const char *daemon = json_string_value(json_object_get(doc, "daemon"));
	struct way *way = g_new0(struct way, 1);

	way->mode = mode_of(json_string_value(json_object_get(doc, "mode")));
	way->delay_ms =
	    (int)json_integer_value(json_object_get(doc, "delay_ms"));
	way->rand = g_rand_new_with_seed(
	    (guint32)json_integer_value(json_object_get(doc, "seed")));
	pthread_mutex_lock(&rf->lock);
	if (way->mode == kModePass) {
		g_hash_table_remove(rf->ways, daemon != NULL ? daemon : "*");
		way_free(way);
	} else {
		g_hash_table_replace(
		    rf->ways, g_strdup(daemon != NULL ? daemon : "*"), way);
	}
	pthread_mutex_unlock(&rf->lock);
}

static enum way_mode
draw_mode(struct way *way)
{
	static const enum way_mode drawn[] = {kModeRefuse, kModeTurnAway,
	    kModeReset, kModeSlow, kModeLose, kModeLate, kModeLater};
	guint32 n = (guint32)g_rand_int_range(way->rand, 0, kMixShares);

	return n < G_N_ELEMENTS(drawn) ? drawn[n] : kModePass;
}

static bool
is_of_open_job(const struct standin_request *req)
{
	return strstr(req->body->str, "\"open\"") != NULL;
}

static struct rows_verdict
decide(struct way *way, const struct standin_request *req)
{
	bool is_write = strcmp(req->method, "GET") != 0;
	enum way_mode mode = way->mode == kModeMix ? draw_mode(way) : way->mode;
	struct rows_verdict verdict = {kWayPass, 0, 0};

	switch (mode) {
	case kModeRefuse:
		verdict.action = kWayRefuse;
		break;
	case kModeTurnAway:
		verdict.action = kWayTurnAway;
		break;
	case kModeReset:
		verdict.action = kWayReset;
		break;
	case kModeSilent:
		verdict = (struct rows_verdict){kWaySilent, kSilentMs, 0};
		break;
	case kModeSlow:
		verdict.delay_ms = way->delay_ms;
		break;
	case kModeLose:
		verdict.action = is_write ? kWayLose : kWayPass;
		break;
	case kModeLate:
		if (is_write)
			verdict = (struct rows_verdict){
			    kWayLose, kLateMinMs + way->delay_ms, 0};
		break;
	case kModeLater:
		if (is_write)
			verdict =
			    (struct rows_verdict){kWayLater, way->delay_ms, 0};
		break;
	case kModeLoseRefuse:
	case kModeLaterRefuse:
		if (!is_write || !is_of_open_job(req))
			break;
		verdict.action = mode == kModeLoseRefuse ? kWayLose : kWayLater;
		verdict.delay_ms = mode == kModeLoseRefuse ? 0 : way->delay_ms;
		way->mode = kModeRefuse;
		break;
	case kModeHold:
		if (is_write && is_of_open_job(req))
			verdict.hold_ms = way->delay_ms;
		break;
	default:
		break;
	}
	return verdict;
}

static char *
daemon_of(const char *url)
{
	const char *name = url + (url[0] == '/');

	return g_strndup(name, strcspn(name, "/"));
}

bool
rows_url_is_from(const char *url, const char *daemon)
{
	char *name = daemon_of(url);
	bool is_same = daemon != NULL && strcmp(name, daemon) == 0;

	g_free(name);
	return is_same;
}

struct rows_verdict
rows_faults_decide(struct rows_faults *rf, const struct standin_request *req)
{
	char *name = daemon_of(req->url);
	struct rows_verdict verdict = {kWayPass, 0, 0};
	struct way *way;

	pthread_mutex_lock(&rf->lock);
	way = g_hash_table_lookup(rf->ways, name);
	if (way == NULL)
		way = g_hash_table_lookup(rf->ways, "*");
	if (way != NULL)
		verdict = decide(way, req);
	pthread_mutex_unlock(&rf->lock);
	g_free(name);
	return verdict;
}

struct later_call {
	/** A change, without a connection. */
	struct standin_request req;
	int delay_ms;
	standin_handler perform;
	void *ctx;
};

static void *
perform_later(void *ctx)
{
	struct later_call *call = ctx;
	struct MHD_Response *res;
	unsigned int status;

	g_usleep((gulong)call->delay_ms * 1000);
	res = call->perform(call->ctx, &call->req, &status);
	if (res != NULL)
		MHD_destroy_response(res);
	g_string_free(call->req.body, TRUE);
	g_free((char *)call->req.url);
	g_free(call);
	return NULL;
}

void
rows_faults_perform_later(const struct standin_request *req, int delay_ms,
    standin_handler perform, void *ctx)
{
	struct later_call *call = g_new0(struct later_call, 1);

	call->req.method = req->method[0] == 'P' ? "POST" : "DELETE";
	call->req.url = g_strdup(req->url);
	call->req.body =
	    g_string_new_len(req->body->str, (gssize)req->body->len);
	call->delay_ms = delay_ms;
	call->perform = perform;
	call->ctx = ctx;
	g_thread_unref(g_thread_new("later", perform_later, call));
}

void
rows_faults_reset(const struct standin_request *req)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    req->con, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct linger now = {.l_onoff = 1, .l_linger = 0};

	setsockopt(info->connect_fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

/*
 * HTTP server on one libmicrohttpd epoll thread. A request that waits for a
 * target or for the platform suspends its connection and occupies no thread.
 */
#include "api/api.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "api/api_budget.h"
#include "api/request.h"
#include "error/error.h"
#include "log/log.h"
#include "metric/metric.h"

enum {
	kConnectionMemoryBytes = 32768,
	kConnectionsMax = 8192,
	kAuthorizationMax = 512,
	kMaxAbortPolls = 1000,
	kAbortPollUs = 5000,
	/* A caller sends its first request within this time of connecting. */
	kFirstRequestUs = 500 * kUsPerMs,
	/* Waits for a moment without a request that arrives. */
	kMaxQuietPolls = 200,
	kQuietPollUs = 1000,
	/* Requests cut by one stop that are logged one by one. */
	kCutsLoggedMax = 32,
	/* Usual time of requests that need no target. */
	kAnswerUs = 100 * kUsPerMs,
};

struct api_connection {
	struct api_debtor debtor;
	int fd;
	/** It has had a request. */
	bool is_used;
};

struct api {
	struct daemon *d;
	struct MHD_Daemon *mhd;
	/** NULL: no limit. */
	struct api_budget *budget;
	/** Guards requests. */
	pthread_mutex_t lock;
	/** Set of struct request whose connections have not completed them. */
	GHashTable *requests;
	/** Guards connections; no other lock is taken while it is held. */
	pthread_mutex_t connections_lock;
	/** Set of struct api_connection. */
	GHashTable *connections;
	/** Time at which the last connection was accepted; 0: not yet. */
	int64_t quiesced_us;
	gint is_refusing_new;
	gint is_stopping;
	struct api_counts counts;
};

static const struct endpoint endpoints[] = {
    {"POST", "/v1/chat/completions", kAccessTeam, false, chat_start, NULL,
	chat_step},
    {NULL, "/v1/call/", kAccessTeam, false, plain_start, NULL, plain_step},
    {"POST", "/v1/batches", kAccessTeam, true, batch_api_submit,
	batch_api_on_body, NULL},
    {"GET", "/v1/batches/", kAccessTeam, false, batch_api_get, NULL, NULL},
    {"POST", "/v1/batches/", kAccessTeam, false, batch_api_post, NULL, NULL},
    {"GET", "/v1/config", kAccessOperator, false, admin_config_get, NULL, NULL},
    {"PUT", "/v1/config", kAccessOperator, false, admin_config_put, NULL, NULL},
    {"GET", "/v1/config/history", kAccessOperator, false, admin_config_history,
	NULL, NULL},
    {"GET", "/v1/status", kAccessOperator, false, admin_status, NULL, NULL},
    {"POST", "/v1/drain", kAccessOperator, false, admin_drain, NULL, NULL},
    {"GET", "/healthz", kAccessAnyone, false, admin_health, NULL, NULL},
    {"GET", "/readyz", kAccessAnyone, false, admin_ready, NULL, NULL},
    {"GET", "/metrics", kAccessAnyone, false, admin_metrics, NULL, NULL},
};

static bool
path_matches(const struct endpoint *ep, const char *url)
{
	if (g_str_has_suffix(ep->path, "/"))
		return g_str_has_prefix(url, ep->path) &&
		    url[strlen(ep->path)] != '\0';
	return strcmp(ep->path, url) == 0;
}

/* @param is_known_path set if the path exists, with another method */
static const struct endpoint *
endpoint_find(const char *method, const char *url, bool *is_known_path)
{
	*is_known_path = false;
	for (size_t i = 0; i < G_N_ELEMENTS(endpoints); i++) {
		const struct endpoint *ep = &endpoints[i];

		if (!path_matches(ep, url))
			continue;
		if (ep->method == NULL || strcmp(ep->method, method) == 0)
			return ep;
		*is_known_path = true;
	}
	return NULL;
}

static bool
is_operator_key(const struct daemon *d, const char *key)
{
	char *sum = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
	bool matches = d->set->operator_key_sha256[0] != '\0' &&
	    strcmp(sum, d->set->operator_key_sha256) == 0;

	g_free(sum);
	return matches;
}

static void
resolve_team(struct request *req, const char *key)
{
	struct config *cfg = config_holder_get(req->d->configs);
	const struct config_team *team =
	    cfg != NULL ? config_team_of_key(cfg, key) : NULL;

	if (team != NULL) {
		req->team = g_strdup(team->name);
		req->weight = team->weight;
		req->is_operator = team->is_operator;
	} else if (is_operator_key(req->d, key)) {
		req->team = g_strdup("operator");
		req->is_operator = true;
	}
	config_unref(cfg);
}

/* @return false if the request was refused */
static bool
authorize(struct request *req)
{
	static const char scheme[] = "Bearer ";
	const char *auth = request_header(req, "Authorization");

	if (req->ep->access == kAccessAnyone)
		return true;
	if (auth != NULL && strlen(auth) < kAuthorizationMax &&
	    g_str_has_prefix(auth, scheme))
		resolve_team(req, auth + strlen(scheme));
	if (req->team == NULL) {
		request_reply_error(req, kErrUnauthorized,
		    "missing or unknown API key; send Authorization: Bearer "
		    "KEY",
		    0);
		return false;
	}
	if (req->ep->access == kAccessOperator && !req->is_operator) {
		request_reply_error(
		    req, kErrForbidden, "an operator key is required", 0);
		return false;
	}
	return true;
}

static bool
check_length(struct request *req)
{
	const char *text = request_header(req, "Content-Length");
	int64_t len = text != NULL ? g_ascii_strtoll(text, NULL, 10) : 0;

	if (req->ep->is_body_streamed || len <= req->d->set->body_max_bytes)
		return true;
	request_reply_error(
	    req, kErrTooLarge, "the request body exceeds the limit", 0);
	return false;
}

/* Requests that need no target are answered within this time. */
static bool
is_accepted(struct api *api)
{
	struct drain_work work = {
	    .expected_us = kAnswerUs,
	    .may_repeat = true,
	};

	return !g_atomic_int_get(&api->is_refusing_new) &&
	    daemon_accepts(api->d, &work);
}

static void
check_headers(struct api *api, struct request *req)
{
	bool is_known_path;

	req->ep = endpoint_find(req->method, req->url, &is_known_path);
	if (req->ep == NULL) {
		request_reply_error(req,
		    is_known_path ? kErrMethod : kErrNotFound,
		    is_known_path ? "method not allowed for this path"
				  : "no such path",
		    0);
		return;
	}
	req->subpath = req->url + strlen(req->ep->path);
	if (!authorize(req) || !check_length(req))
		return;
	if (req->ep->access == kAccessAnyone || is_accepted(api))
		return;
	/* A connection that is closed with a part of the body unread is reset,
	 * and the caller may lose the answer. */
	if (request_header(req, "Expect") == NULL)
		req->is_refused = true;
	else
		request_refuse_draining(req);
}

static enum MHD_Result
queue_reply(struct request *req)
{
	enum MHD_Result res;

	if (g_atomic_int_get(&req->d->is_draining))
		request_reply_header(req, "Connection", "close");
	res = MHD_queue_response(req->con, req->status, req->response);
	req->is_replied = true;
	return res;
}

/* Called first for each request, once its first line has arrived. */
static void *
on_uri(void *cls, const char *uri, struct MHD_Connection *con)
{
	struct api *api = cls;
	struct request *req = g_new0(struct request, 1);
	struct api_connection *peer =
	    MHD_get_connection_info(con, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
		->socket_context;

	req->refs = 1;
	req->d = api->d;
	pthread_mutex_init(&req->lock, NULL);
	req->con = con;
	req->peer = &peer->debtor;
	req->body = g_string_new(NULL);
	req->received_us = clock_mono_us(api->d->clk);
	pthread_mutex_lock(&api->connections_lock);
	peer->is_used = true;
	pthread_mutex_unlock(&api->connections_lock);
	pthread_mutex_lock(&api->lock);
	g_hash_table_add(api->requests, req);
	pthread_mutex_unlock(&api->lock);
	api_budget_begin(req);
	metric_add(kMetRequests, 1);
	return req;
}

static void
on_connection(void *cls, struct MHD_Connection *con, void **context,
    enum MHD_ConnectionNotificationCode code)
{
	struct api *api = cls;
	struct api_connection *peer = *context;

	pthread_mutex_lock(&api->connections_lock);
	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		api_budget_closed(api->budget, &peer->debtor);
		g_hash_table_remove(api->connections, peer);
	} else {
		peer = g_new0(struct api_connection, 1);
		peer->fd = MHD_get_connection_info(
		    con, MHD_CONNECTION_INFO_CONNECTION_FD)
			       ->connect_fd;
		peer->debtor.fd = peer->fd;
		g_hash_table_add(api->connections, peer);
		*context = peer;
		api_budget_open(api->budget, &peer->debtor, con);
	}
	pthread_mutex_unlock(&api->connections_lock);
}

static void
append_body(struct request *req, const char *data, size_t len)
{
	if (req->response != NULL || req->is_body_too_large || req->is_refused)
		return;
	if (!req->ep->is_body_streamed &&
	    (int64_t)(req->body->len + len) > req->d->set->body_max_bytes) {
		req->is_body_too_large = true;
		return;
	}
	g_string_append_len(req->body, data, (gssize)len);
	if (req->ep->is_body_streamed)
		req->ep->on_body(req);
}

static void
read_body(struct request *req, const char *data, size_t len)
{
	if (req->ep != NULL && req->ep->is_body_streamed)
		api_budget_set_kept(req, batch_api_kept_bytes(req));
	api_budget_read(req, len);
	if (!req->is_dropped)
		append_body(req, data, len);
}

static void
run_endpoint(struct request *req)
{
	if (!req->is_started) {
		req->is_started = true;
		api_budget_received(req);
		if (req->is_refused)
			request_refuse_draining(req);
		else if (req->is_body_too_large)
			request_reply_error(req, kErrTooLarge,
			    "the request body exceeds the limit", 0);
		else
			req->ep->start(req);
	}
	if (!req->is_offloaded && req->response == NULL &&
	    req->ep->step != NULL)
		req->ep->step(req);
}

static enum MHD_Result
on_access(void *cls, struct MHD_Connection *con, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **con_cls)
{
	struct api *api = cls;
	struct request *req = *con_cls;

	if (req->is_dropped) {
		if (!api_budget_drop(req, *len))
			return MHD_NO;
		*len = 0;
		return MHD_YES;
	}
	if (req->method == NULL) {
		req->url = g_strdup(url);
		req->method = g_strdup(method);
		check_headers(api, req);
		return req->response != NULL ? queue_reply(req) : MHD_YES;
	}
	if (*len > 0) {
		read_body(req, data, *len);
		*len = 0;
		return MHD_YES;
	}
	req->is_offloaded = false;
	if (req->response == NULL)
		run_endpoint(req);
	if (req->is_offloaded || req->response == NULL)
		return MHD_YES;
	return queue_reply(req);
}

/* Requests of the own API have no id: the path is logged. */
static void
record_cut(struct api *api, const struct request *req)
{
	api->counts.cut++;
	if (api->counts.cut <= kCutsLoggedMax)
		log_event(kEvtRequestCut, "uri",
		    req->url != NULL ? req->url : "", "received",
		    log_number(req->is_started), "age_us",
		    log_number(clock_mono_us(api->d->clk) - req->received_us),
		    NULL);
}

static void
on_completed(void *cls, struct MHD_Connection *con, void **con_cls,
    enum MHD_RequestTerminationCode code)
{
	struct api *api = cls;
	struct request *req = *con_cls;

	if (req == NULL)
		return;
	*con_cls = NULL;
	if (g_atomic_int_get(&api->is_stopping) &&
	    code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
		record_cut(api, req);
	pthread_mutex_lock(&api->lock);
	g_hash_table_remove(api->requests, req);
	pthread_mutex_unlock(&api->lock);
	api_budget_end(req);
	pthread_mutex_lock(&req->lock);
	req->con = NULL;
	pthread_mutex_unlock(&req->lock);
	request_release_call(req);
	request_unref(req);
}

struct api *
api_new(struct daemon *d, GError **err)
{
	struct api *api = g_new0(struct api, 1);
	struct sockaddr_in addr = {.sin_family = AF_INET};
	char ip[64];
	uint16_t port = 0;

	api->d = d;
	pthread_mutex_init(&api->lock, NULL);
	pthread_mutex_init(&api->connections_lock, NULL);
	api->requests = g_hash_table_new(NULL, NULL);
	api->connections = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	api->budget = api_budget_new(d);
	settings_parse_address(d->set->listen, ip, &port);
	inet_pton(AF_INET, ip, &addr.sin_addr);
	addr.sin_port = htons(port);
	api->mhd = MHD_start_daemon(
	    MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, port,
	    NULL, NULL, on_access, api, MHD_OPTION_SOCK_ADDR,
	    (struct sockaddr *)&addr, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
	    api, MHD_OPTION_NOTIFY_CONNECTION, on_connection, api,
	    MHD_OPTION_URI_LOG_CALLBACK, on_uri, api,
	    MHD_OPTION_CONNECTION_TIMEOUT,
	    (unsigned int)d->set->client_timeout_s,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)kConnectionMemoryBytes,
	    MHD_OPTION_CONNECTION_LIMIT,
	    api_budget_connections(api->budget, kConnectionsMax),
	    MHD_OPTION_END);
	if (api->mhd == NULL) {
		g_set_error(err, SF_ERROR, kErrSettingRange,
		    "--listen: cannot bind %s", d->set->listen);
		g_hash_table_unref(api->requests);
		g_hash_table_unref(api->connections);
		api_budget_free(api->budget);
		g_free(api);
		return NULL;
	}
	return api;
}

/* Hands over the connections that wait in the listen queue. */
static void
accept_waiting(struct api *api, MHD_socket fd)
{
	struct pollfd pfd = {.fd = fd, .events = POLLIN};
	struct sockaddr_in addr;

	for (int i = 0; i < kConnectionsMax && poll(&pfd, 1, 0) > 0; i++) {
		socklen_t len = sizeof(addr);
		int con = accept4(fd, (struct sockaddr *)&addr, &len,
		    SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (con < 0)
			return;
		MHD_add_connection(
		    api->mhd, con, (struct sockaddr *)&addr, len);
	}
}

void
api_refuse_new(struct api *api)
{
	MHD_socket fd;

	g_atomic_int_set(&api->is_refusing_new, 1);
	fd = MHD_quiesce_daemon(api->mhd);
	if (fd != MHD_INVALID_SOCKET) {
		accept_waiting(api, fd);
		close(fd);
	}
	api->quiesced_us = clock_mono_us(api->d->clk);
}

static bool
has_unread(const struct api_connection *peer)
{
	char c;

	return recv(peer->fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool
api_is_quiet(struct api *api)
{
	bool is_waiting =
	    clock_mono_us(api->d->clk) - api->quiesced_us < kFirstRequestUs;
	bool is_quiet = true;
	GHashTableIter it;
	void *key;

	pthread_mutex_lock(&api->connections_lock);
	g_hash_table_iter_init(&it, api->connections);
	while (is_quiet && g_hash_table_iter_next(&it, &key, NULL)) {
		const struct api_connection *peer = key;

		is_quiet = !has_unread(peer) && (peer->is_used || !is_waiting);
	}
	pthread_mutex_unlock(&api->connections_lock);
	/* After the connections: what is read meanwhile is a request. */
	pthread_mutex_lock(&api->lock);
	is_quiet = is_quiet && g_hash_table_size(api->requests) == 0;
	pthread_mutex_unlock(&api->lock);
	return is_quiet;
}

/* @return true if a connection was still suspended */
static bool
abort_requests(struct api *api)
{
	bool has_suspended = false;
	GHashTableIter it;
	void *req;

	pthread_mutex_lock(&api->lock);
	g_hash_table_iter_init(&it, api->requests);
	while (g_hash_table_iter_next(&it, &req, NULL))
		request_abort_unsent(req);
	g_hash_table_iter_init(&it, api->requests);
	while (g_hash_table_iter_next(&it, &req, NULL))
		has_suspended = request_abort(req) || has_suspended;
	pthread_mutex_unlock(&api->lock);
	return has_suspended;
}

static void
count(struct api *api)
{
	struct api_counts *n = &api->counts;
	GHashTableIter it;
	void *key;

	pthread_mutex_lock(&api->connections_lock);
	n->open = (int32_t)g_hash_table_size(api->connections);
	g_hash_table_iter_init(&it, api->connections);
	while (g_hash_table_iter_next(&it, &key, NULL))
		n->unread += has_unread(key);
	pthread_mutex_unlock(&api->connections_lock);
	pthread_mutex_lock(&api->lock);
	g_hash_table_iter_init(&it, api->requests);
	while (g_hash_table_iter_next(&it, &key, NULL))
		n->unfinished += !((struct request *)key)->is_started;
	pthread_mutex_unlock(&api->lock);
}

void
api_give_up(struct api *api)
{
	g_atomic_int_set(&api->is_stopping, 1);
	abort_requests(api);
	for (int i = 0; i < kMaxQuietPolls && !api_is_quiet(api); i++)
		g_usleep(kQuietPollUs);
}

void
api_free(struct api *api, struct api_counts *counts)
{
	g_atomic_int_set(&api->is_stopping, 1);
	/* MHD_stop_daemon must not run while a connection is suspended. */
	for (int i = 0; i < kMaxAbortPolls && abort_requests(api); i++)
		g_usleep(kAbortPollUs);
	for (int i = 0; i < kMaxQuietPolls && !api_is_quiet(api); i++)
		g_usleep(kQuietPollUs);
	count(api);
	MHD_stop_daemon(api->mhd);
	*counts = api->counts;
	g_hash_table_unref(api->requests);
	g_hash_table_unref(api->connections);
	api_budget_free(api->budget);
	pthread_mutex_destroy(&api->lock);
	pthread_mutex_destroy(&api->connections_lock);
	g_free(api);
}

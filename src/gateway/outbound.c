/* HTTP client for targets: a libcurl multi handle driven by the loop. */
#include "gateway/outbound.h"

#include <curl/curl.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include "gateway/outbound_sockets.h"
#include "http/intake.h"
#include "http/send_guard.h"
#include "log/log.h"
#include "metric/metric.h"

enum {
	/* Pooled connections idle for this long are not reused: the target may
	 * close them, or a device on the path may have dropped them. */
	kIdleMaxS = 3,
	kAgeMaxS = 60,
	kConnectionsKept = 64,
};

struct outbound {
	struct loop *lp;
	CURLM *multi;
	struct outbound_sockets *sockets;
	uint64_t timer;
	/** Set of struct outbound_request. */
	GHashTable *requests;
	/** Done, to be freed at the end of the loop's iteration. */
	GPtrArray *done;
	/** The set of requests contains cancelled ones. */
	bool has_cancelled;
};

struct outbound_request {
	struct outbound *ob;
	CURL *easy;
	struct curl_slist *lines;
	GBytes *body;
	char *url;
	struct header_list *answer;
	struct intake intake;
	struct send_guard guard;
	/** Its connection; -1: not known yet. */
	curl_socket_t fd;
	/** Bytes that the connection had read before this request. */
	int64_t read_before;
	bool is_refused;
	bool is_done;
	/** The connection was created for this request. */
	bool is_first_on_connection;
	/** Hash of the id that the answer repeats; 0: none. */
	uint64_t id;
	/** The connection in the pool had ended, had unread bytes, or was used
	 * for a request of the same id. */
	bool is_pooled_unfit;
	bool (*may_send)(void *ctx);
	bool is_withheld;
	const struct outbound_ops *ops;
	void *ctx;
};

static void check_completed(struct outbound *ob);
static void remove_cancelled(void *ctx);

static void
request_free(void *p)
{
	struct outbound_request *req = p;

	curl_easy_cleanup(req->easy);
	curl_slist_free_all(req->lines);
	if (req->body != NULL)
		g_bytes_unref(req->body);
	header_list_free(req->answer);
	g_free(req->url);
	g_free(req);
}

static void
on_timeout(void *ctx)
{
	struct outbound *ob = ctx;
	int running;

	ob->timer = 0;
	curl_multi_socket_action(ob->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	check_completed(ob);
}

static int
on_timer_change(CURLM *multi, long timeout_ms, void *ctx)
{
	struct outbound *ob = ctx;

	loop_timer_cancel(ob->lp, ob->timer);
	ob->timer = 0;
	if (timeout_ms >= 0)
		ob->timer = loop_timer(ob->lp,
		    loop_now_us(ob->lp) + timeout_ms * (int64_t)kUsPerMs,
		    on_timeout, ob);
	return 0;
}

struct socket_ref {
	struct outbound *ob;
	curl_socket_t fd;
};

static void
on_socket(void *ctx, uint32_t events)
{
	struct socket_ref *ref = ctx;
	struct outbound *ob = ref->ob;
	int action = 0;
	int running;

	if (events & (EPOLLIN | EPOLLHUP))
		action |= CURL_CSELECT_IN;
	if (events & EPOLLOUT)
		action |= CURL_CSELECT_OUT;
	if (events & EPOLLERR)
		action |= CURL_CSELECT_ERR;
	curl_multi_socket_action(ob->multi, ref->fd, action, &running);
	check_completed(ob);
}

static int
on_socket_change(
    CURL *easy, curl_socket_t fd, int what, void *ctx, void *socket_ctx)
{
	struct outbound *ob = ctx;
	struct socket_ref *ref = socket_ctx;
	uint32_t events = 0;

	if (what == CURL_POLL_REMOVE) {
		loop_unwatch(ob->lp, fd);
		curl_multi_assign(ob->multi, fd, NULL);
		g_free(ref);
		return 0;
	}
	if (ref == NULL) {
		ref = g_new0(struct socket_ref, 1);
		ref->ob = ob;
		ref->fd = fd;
		curl_multi_assign(ob->multi, fd, ref);
	}
	if (what & CURL_POLL_IN)
		events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		events |= EPOLLOUT;
	loop_watch(ob->lp, fd, events, on_socket, ref);
	return 0;
}

struct outbound *
outbound_new(struct loop *lp)
{
	struct outbound *ob = g_new0(struct outbound, 1);

	ob->lp = lp;
	ob->multi = curl_multi_init();
	ob->sockets = outbound_sockets_new();
	ob->requests = g_hash_table_new(NULL, NULL);
	ob->done = g_ptr_array_new_with_free_func(request_free);
	curl_multi_setopt(ob->multi, CURLMOPT_SOCKETFUNCTION, on_socket_change);
	curl_multi_setopt(ob->multi, CURLMOPT_SOCKETDATA, ob);
	curl_multi_setopt(ob->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
	curl_multi_setopt(ob->multi, CURLMOPT_TIMERDATA, ob);
	curl_multi_setopt(
	    ob->multi, CURLMOPT_MAXCONNECTS, (long)kConnectionsKept);
	curl_multi_setopt(
	    ob->multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
	loop_on_iteration_end(lp, remove_cancelled, ob);
	return ob;
}

void
outbound_free(struct outbound *ob)
{
	GHashTableIter it;
	void *req;

	g_hash_table_iter_init(&it, ob->requests);
	while (g_hash_table_iter_next(&it, &req, NULL)) {
		curl_multi_remove_handle(
		    ob->multi, ((struct outbound_request *)req)->easy);
		g_ptr_array_add(ob->done, req);
	}
	g_hash_table_unref(ob->requests);
	g_ptr_array_unref(ob->done);
	curl_multi_cleanup(ob->multi);
	outbound_sockets_free(ob->sockets);
	loop_timer_cancel(ob->lp, ob->timer);
	g_free(ob);
}

static void
log_surplus(const struct outbound_request *req, const char *found)
{
	log_event(kEvtSurplusBytes, "url", req->url, "found", found,
	    (const char *)NULL);
}

static void
add_field(struct outbound_request *req, const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);
	char *name;
	char *value;

	if (colon == NULL)
		return;
	name = g_strndup(line, (gsize)(colon - line));
	value = g_strndup(colon + 1, (gsize)(line + len - colon - 1));
	header_list_add(req->answer, name, g_strstrip(value));
	g_free(name);
	g_free(value);
}

/* @return false to close the connection */
static bool
handle_line(struct outbound_request *req, const char *line, size_t len)
{
	switch (intake_line(&req->intake, line, len)) {
	case kIntakeLineRefused:
	case kIntakeLineMalformed:
		return false;
	case kIntakeLineMixed:
		log_surplus(req, "in_head");
		req->is_refused = true;
		return false;
	case kIntakeLineStatus:
		header_list_free(req->answer);
		req->answer = header_list_new();
		return true;
	case kIntakeLineField:
		add_field(req, line, len);
		return true;
	case kIntakeLineEnd:
		req->is_refused = !req->is_done &&
		    !req->ops->on_head(
			req->ctx, req->intake.status, req->answer);
		return !req->is_refused;
	case kIntakeLineInterimEnd:
	case kIntakeLineTrailer:
		break;
	}
	return true;
}

static size_t
on_header(char *data, size_t size, size_t n, void *ctx)
{
	return handle_line(ctx, data, size * n) ? size * n : 0;
}

static size_t
on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct outbound_request *req = ctx;

	if (!intake_body(&req->intake, size * n))
		return 0;
	if (!req->is_done && req->ops->on_data(req->ctx, data, size * n))
		return size * n;
	req->is_refused = true;
	return 0;
}

/* @return bytes that were read from a connection; -1 if unknown */
static int64_t
connection_read_bytes(curl_socket_t fd)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);
	int unread = 0;

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0 ||
	    ioctl(fd, FIONREAD, &unread) != 0)
		return -1;
	return (int64_t)info.tcpi_bytes_received - unread;
}

/* Called at each read of the connection. */
static int
on_progress(void *ctx, curl_off_t down_total, curl_off_t down,
    curl_off_t up_total, curl_off_t up)
{
	struct outbound_request *req = ctx;
	int unacknowledged;
	int64_t bytes;

	if (req->fd == CURL_SOCKET_BAD) {
		curl_easy_getinfo(req->easy, CURLINFO_ACTIVESOCKET, &req->fd);
		if (req->fd != CURL_SOCKET_BAD)
			req->read_before = connection_read_bytes(req->fd);
	}
	if (req->fd == CURL_SOCKET_BAD)
		return 0;
	if (ioctl(req->fd, SIOCOUTQ, &unacknowledged) != 0)
		unacknowledged = 0;
	intake_set_unacknowledged(&req->intake, unacknowledged);
	bytes = connection_read_bytes(req->fd) - req->read_before;
	return intake_wire(&req->intake, bytes, loop_now_us(req->ob->lp)) ? 0
									  : 1;
}

static int
on_socket_created(void *ctx, curl_socket_t fd, curlsocktype type)
{
	struct outbound_request *req = ctx;

	req->is_first_on_connection = true;
	req->fd = fd;
	req->read_before = 0;
	metric_add(kMetConnects, 1);
	outbound_sockets_detect_loss(fd);
	return CURL_SOCKOPT_OK;
}

static int
on_socket_close(void *ctx, curl_socket_t fd)
{
	outbound_sockets_remove(ctx, fd);
	return close(fd);
}

/* What arrived on an idle connection is no answer to the next request. */
static int
before_request(
    /* NOLINTNEXTLINE(readability-non-const-parameter): libcurl's prototype */
    void *ctx, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
	struct outbound_request *req = ctx;
	struct outbound_path path = {remote_ip, remote_port, local_port};
	enum socket_input input;

	if (req->may_send != NULL && !req->is_done &&
	    !req->may_send(req->ctx)) {
		req->is_withheld = true;
		return CURL_PREREQFUNC_ABORT;
	}
	if (req->is_first_on_connection) {
		outbound_sockets_add(req->ob->sockets, req->fd, &path);
		outbound_sockets_take_id(req->ob->sockets, &path, req->id);
		return send_guard_on_request(&req->guard);
	}
	input = outbound_sockets_input(req->ob->sockets, &path);
	if (input == kSocketQuiet &&
	    outbound_sockets_take_id(req->ob->sockets, &path, req->id))
		return send_guard_on_request(&req->guard);
	if (input == kSocketHasBytes)
		log_surplus(req, "before_request");
	req->is_pooled_unfit = true;
	return CURL_PREREQFUNC_ABORT;
}

static bool
lacks_field(const struct header_list *headers, const char *name)
{
	return header_list_get(headers, name) == NULL;
}

/* A name without a value suppresses a field that libcurl adds by default. */
static struct curl_slist *
header_lines(const struct header_list *headers)
{
	struct curl_slist *lines = curl_slist_append(NULL, "Expect:");

	if (lacks_field(headers, "Accept"))
		lines = curl_slist_append(lines, "Accept:");
	if (lacks_field(headers, "Content-Type"))
		lines = curl_slist_append(lines, "Content-Type:");
	for (guint i = 0; i < header_list_len(headers); i++) {
		const struct header *h = header_list_at(headers, i);
		/* libcurl's notation of an empty value is a semicolon. */
		char *line = *h->value != '\0'
		    ? g_strconcat(h->name, ": ", h->value, NULL)
		    : g_strconcat(h->name, ";", NULL);

		lines = curl_slist_append(lines, line);
		g_free(line);
	}
	return lines;
}

static void
set_body(struct outbound_request *req, const char *method)
{
	gsize len = 0;
	const char *data =
	    req->body != NULL ? g_bytes_get_data(req->body, &len) : NULL;

	curl_easy_setopt(req->easy, CURLOPT_CUSTOMREQUEST, method);
	if (len == 0 &&
	    (strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0)) {
		if (strcmp(method, "HEAD") == 0)
			curl_easy_setopt(req->easy, CURLOPT_NOBODY, 1L);
		return;
	}
	curl_easy_setopt(req->easy, CURLOPT_POSTFIELDSIZE, (long)len);
	curl_easy_setopt(
	    req->easy, CURLOPT_POSTFIELDS, data != NULL ? data : "");
}

struct outbound_request *
outbound_start(struct outbound *ob, const struct outbound_options *opt)
{
	struct outbound_request *req = g_new0(struct outbound_request, 1);
	CURL *h = curl_easy_init();

	req->ob = ob;
	req->easy = h;
	req->fd = CURL_SOCKET_BAD;
	req->ops = opt->ops;
	req->ctx = opt->ctx;
	req->may_send = opt->may_send;
	req->body = opt->body != NULL ? g_bytes_ref(opt->body) : NULL;
	req->url = g_strdup_printf("http://%s/", opt->address);
	req->lines = header_lines(opt->headers);
	req->answer = header_list_new();
	intake_init(&req->intake, kIntakeBodyBytesMax);
	curl_easy_setopt(h, CURLOPT_URL, req->url);
	curl_easy_setopt(h, CURLOPT_REQUEST_TARGET, opt->uri);
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(h, CURLOPT_HTTPHEADER, req->lines);
	curl_easy_setopt(h, CURLOPT_PRIVATE, req);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, req);
	curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(h, CURLOPT_HEADERDATA, req);
	curl_easy_setopt(h, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(h, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(h, CURLOPT_XFERINFODATA, req);
	curl_easy_setopt(h, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
	curl_easy_setopt(h, CURLOPT_SOCKOPTDATA, req);
	curl_easy_setopt(h, CURLOPT_CLOSESOCKETFUNCTION, on_socket_close);
	curl_easy_setopt(h, CURLOPT_CLOSESOCKETDATA, ob->sockets);
	curl_easy_setopt(h, CURLOPT_PREREQFUNCTION, before_request);
	curl_easy_setopt(h, CURLOPT_PREREQDATA, req);
	curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS,
	    (long)(opt->connect_timeout_us / kUsPerMs));
	curl_easy_setopt(h, CURLOPT_MAXAGE_CONN, (long)kIdleMaxS);
	curl_easy_setopt(h, CURLOPT_MAXLIFETIME_CONN, (long)kAgeMaxS);
	curl_easy_setopt(h, CURLOPT_BUFFERSIZE, 16384L);
	if (opt->id != NULL)
		req->id = XXH3_64bits(opt->id, strlen(opt->id));
	req->guard.is_sent_once = opt->is_sent_once;
	if (opt->is_sent_once)
		curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, 1L);
	set_body(req, opt->method);
	g_hash_table_add(ob->requests, req);
	curl_multi_add_handle(ob->multi, h);
	return req;
}

void
outbound_allow_body(struct outbound_request *req, int64_t bytes)
{
	intake_allow_body(&req->intake, bytes);
}

static void
retire(struct outbound_request *req)
{
	struct outbound *ob = req->ob;

	req->is_done = true;
	curl_multi_remove_handle(ob->multi, req->easy);
	g_hash_table_remove(ob->requests, req);
	g_ptr_array_add(ob->done, req);
}

bool
outbound_is_first_answer(const struct outbound_request *req)
{
	return req->is_first_on_connection;
}

bool
outbound_is_resent(const struct outbound_request *req)
{
	return send_guard_is_resent(&req->guard);
}

void
outbound_cancel(struct outbound_request *req)
{
	/* libcurl may be in the middle of this transfer: it is removed at the
	 * end of the loop's iteration. */
	req->is_done = true;
	req->ob->has_cancelled = true;
}

static void
remove_cancelled(void *ctx)
{
	struct outbound *ob = ctx;
	GPtrArray *list;
	GHashTableIter it;
	void *key;

	if (ob->has_cancelled) {
		ob->has_cancelled = false;
		list = g_ptr_array_new();
		g_hash_table_iter_init(&it, ob->requests);
		while (g_hash_table_iter_next(&it, &key, NULL))
			if (((struct outbound_request *)key)->is_done)
				g_ptr_array_add(list, key);
		for (guint i = 0; i < list->len; i++)
			retire(list->pdata[i]);
		g_ptr_array_unref(list);
	}
	g_ptr_array_set_size(ob->done, 0);
}

static int64_t
body_len(const struct outbound_request *req)
{
	return req->body != NULL ? (int64_t)g_bytes_get_size(req->body) : 0;
}

static enum outbound_outcome
outcome_of(const struct outbound_request *req, CURLcode code)
{
	if (req->is_refused)
		return kOutboundRefused;
	if (req->intake.limit != NULL)
		return kOutboundCut;
	if (req->intake.is_malformed)
		return kOutboundMalformed;
	if (send_guard_is_unsent(&req->guard))
		return req->is_withheld ? kOutboundWithheld : kOutboundNotSent;
	return intake_is_whole(&req->intake, code) ? kOutboundComplete
						   : kOutboundInterrupted;
}

/* Nothing was sent yet; libcurl has closed the connection. */
static void
start_on_new_connection(struct outbound_request *req)
{
	req->is_pooled_unfit = false;
	curl_multi_remove_handle(req->ob->multi, req->easy);
	curl_easy_setopt(req->easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_multi_add_handle(req->ob->multi, req->easy);
}

static void
check_completed(struct outbound *ob)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(ob->multi, &left)) != NULL) {
		struct outbound_request *req = NULL;
		enum outbound_outcome outcome;
		bool was_done;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &req);
		if (req->is_pooled_unfit && !req->is_done) {
			start_on_new_connection(req);
			continue;
		}
		intake_record_sent(&req->intake, req->easy, body_len(req));
		outcome = outcome_of(req, msg->data.result);
		intake_log(&req->intake, req->url, msg->data.result);
		was_done = req->is_done;
		retire(req);
		if (!was_done)
			req->ops->on_done(req->ctx, outcome);
	}
}

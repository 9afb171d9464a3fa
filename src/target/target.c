/*
 * HTTP transfers to targets on a libcurl multi handle. Other threads enqueue
 * commands in a lock-free ring. The number of connections is not limited, so
 * that no transfer waits for another.
 */
#include "target/target.h"

#include <ck_ring.h>
#include <curl/curl.h>
#include <pthread.h>
#include <string.h>

#include "http/intake.h"
#include "http/send_guard.h"
#include "os/clock.h"
#include "os/text_copy.h"
#include "savoryflow/arbiter/u64_hash.h"

enum {
	kCommandSlots = 16384,
	kPollMs = 100,
	kConnectTimeoutMs = 1000,
	/* Pooled connections are closed after this idle time and at this age: a
	 * middlebox may have dropped their state. */
	kConnIdleMaxS = 20,
	kConnAgeMaxS = 300,
	/* A silent connection is kept, so the kernel must notice a machine that
	 * is gone. */
	kKeepaliveIdleS = 5,
	kKeepaliveIntervalS = 1,
	kHttpTooMany = 429,
	kHttpUnavailable = 503,
	/* A refusal with 429 and no time asks for this pause. */
	kPauseDefaultUs = kUsPerS,
	kPauseMaxS = 3600,
};

enum command_kind { kCommandStart, kCommandCancel };

struct command {
	enum command_kind kind;
	uint64_t attempt;
	struct transfer *transfer;
};

struct transfer {
	uint64_t attempt;
	CURL *easy;
	struct curl_slist *headers;
	GBytes *body;
	char *url;
	char *method;
	int64_t stall_timeout_us;
	int64_t progress_us;
	/** When on_silent was last called. */
	int64_t silent_call_us;
	bool is_sent_once;
	bool is_aborted_by_reader;
	/** Attempt id that the answer names, or empty. */
	/** Attempt that the answer names; or it names one that is too long. */
	char echoed_attempt[32];
	bool has_other_attempt;
	struct intake intake;
	struct send_guard guard;
	struct transfer_result result;
	const struct target_ops *ops;
	void *ctx;
};

struct target_client {
	CURLM *multi;
	/** struct transfer by attempt; client thread only. */
	GHashTable *transfers;
	ck_ring_t ring;
	ck_ring_buffer_t *slots;
	pthread_t thread;
	bool is_stopping;
};

static void
transfer_free(void *p)
{
	struct transfer *tr = p;

	if (tr->easy != NULL)
		curl_easy_cleanup(tr->easy);
	curl_slist_free_all(tr->headers);
	if (tr->body != NULL)
		g_bytes_unref(tr->body);
	g_free(tr->url);
	g_free(tr->method);
	tr->ops->unref(tr->ctx);
	g_free(tr);
}

static size_t
on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct transfer *tr = ctx;

	if (!intake_body(&tr->intake, size * n))
		return 0;
	switch (tr->ops->on_data(
	    tr->ctx, tr->attempt, tr->intake.status, data, size * n)) {
	case kTargetDataRefused:
		tr->is_aborted_by_reader = true;
		return 0;
	case kTargetDataIdle:
		break;
	case kTargetDataEvent:
		intake_allow_body(&tr->intake, kIntakeEventBytesMax);
		tr->progress_us = clock_mono_us(clock_system());
		break;
	case kTargetDataPart:
		tr->progress_us = clock_mono_us(clock_system());
		break;
	}
	return size * n;
}

/* Value of a field's line; free with g_free. */
static char *
field_value(const char *line, size_t len, size_t name_len)
{
	return g_strstrip(g_strndup(line + name_len, len - name_len));
}

static bool
is_own_answer(struct transfer *tr)
{
	char own[32];
	long connects = 0;

	g_snprintf(own, sizeof(own), "%016" G_GINT64_MODIFIER "x", tr->attempt);
	if (tr->has_other_attempt)
		return false;
	if (tr->echoed_attempt[0] != '\0')
		return strcmp(tr->echoed_attempt, own) == 0;
	/* Without an id only the first answer on a connection is certain, so
	 * it must be the last one, too. */
	curl_easy_setopt(tr->easy, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_getinfo(tr->easy, CURLINFO_NUM_CONNECTS, &connects);
	return connects > 0;
}

/* Only 429 and 503 ask for a pause; a request answered with 429 did not run. */
static void
accept_refusal(struct transfer *tr)
{
	if (tr->intake.status == kHttpTooMany) {
		tr->result.is_not_executed = true;
		if (tr->result.pause_us == 0)
			tr->result.pause_us = kPauseDefaultUs;
	} else if (tr->intake.status != kHttpUnavailable) {
		tr->result.pause_us = 0;
	}
}

/* Called at the empty line that ends the final head. */
static bool
accept_head(struct transfer *tr)
{
	tr->result.is_foreign = !is_own_answer(tr);
	if (tr->result.is_foreign)
		return false;
	accept_refusal(tr);
	if (tr->ops->on_head != NULL)
		tr->ops->on_head(tr->ctx, tr->attempt, &tr->result);
	return true;
}

/* @param name with its colon */
static bool
is_field(const char *line, size_t len, const char *name)
{
	size_t name_len = strlen(name);

	return len > name_len && g_ascii_strncasecmp(line, name, name_len) == 0;
}

/* @return 0 for a date, which is not understood, and for what is no number */
static int64_t
pause_from_text(const char *text)
{
	char *end;
	double s = g_ascii_strtod(text, &end);

	if (end == text || *end != '\0' || !(s > 0))
		return 0;
	return (int64_t)(MIN(s, kPauseMaxS) * kUsPerS);
}

static void
read_field(struct transfer *tr, const char *data, size_t len)
{
	static const char attempt[] = "Savoryflow-Attempt:";
	static const char type[] = "Content-Type:";
	static const char ran[] = "Savoryflow-Ran:";
	static const char rate[] = "Savoryflow-Rate:";
	static const char retry[] = "Retry-After:";
	char *text = NULL;

	if (is_field(data, len, attempt)) {
		text = field_value(data, len, sizeof(attempt) - 1);
		/* No attempt of this daemon has so long an id. */
		tr->has_other_attempt = !text_copy(
		    tr->echoed_attempt, sizeof(tr->echoed_attempt), text);
	} else if (is_field(data, len, type)) {
		text = field_value(data, len, sizeof(type) - 1);
		text_copy_or_none(tr->result.content_type,
		    sizeof(tr->result.content_type), text);
	} else if (is_field(data, len, rate)) {
		text = field_value(data, len, sizeof(rate) - 1);
		tr->result.rate = stated_rate_parse(text);
	} else if (is_field(data, len, retry)) {
		text = field_value(data, len, sizeof(retry) - 1);
		tr->result.pause_us = pause_from_text(text);
	} else if (is_field(data, len, ran)) {
		text = field_value(data, len, sizeof(ran) - 1);
		tr->result.is_not_executed = strcmp(text, "no") == 0;
	}
	g_free(text);
}

/* Those of an interim head are not the answer's. */
static void
forget_fields(struct transfer *tr)
{
	tr->echoed_attempt[0] = '\0';
	tr->has_other_attempt = false;
	tr->result = (struct transfer_result){0};
}

static size_t
on_header(char *data, size_t size, size_t n, void *ctx)
{
	struct transfer *tr = ctx;
	size_t len = size * n;

	switch (intake_line(&tr->intake, data, len)) {
	case kIntakeLineRefused:
	case kIntakeLineMixed:
	case kIntakeLineMalformed:
		return 0;
	case kIntakeLineStatus:
		forget_fields(tr);
		break;
	case kIntakeLineField:
		read_field(tr, data, len);
		break;
	case kIntakeLineEnd:
		return accept_head(tr) ? len : 0;
	default:
		break;
	}
	return len;
}

static struct transfer *
transfer_new(const struct transfer_options *opt)
{
	struct transfer *tr = g_new0(struct transfer, 1);
	char *line = g_strdup_printf(
	    "Savoryflow-Attempt: %016" G_GINT64_MODIFIER "x", opt->attempt);

	tr->attempt = opt->attempt;
	tr->headers = curl_slist_append(tr->headers, line);
	tr->headers = curl_slist_append(tr->headers, "Expect:");
	tr->headers =
	    curl_slist_append(tr->headers, "Content-Type: application/json");
	for (int i = 0; opt->headers != NULL && opt->headers[i] != NULL; i++)
		tr->headers = curl_slist_append(tr->headers, opt->headers[i]);
	tr->body = opt->body != NULL ? g_bytes_ref(opt->body) : NULL;
	tr->url = g_strdup(opt->url);
	tr->method = g_strdup(opt->method);
	tr->stall_timeout_us = opt->stall_timeout_us;
	tr->is_sent_once = opt->is_sent_once;
	tr->ops = opt->ops;
	tr->ctx = opt->ctx;
	tr->ops->ref(tr->ctx);
	g_free(line);
	return tr;
}

static void
set_body(struct transfer *tr)
{
	gsize len = 0;
	const char *data =
	    tr->body != NULL ? g_bytes_get_data(tr->body, &len) : "";

	if (strcmp(tr->method, "GET") == 0)
		return;
	curl_easy_setopt(tr->easy, CURLOPT_CUSTOMREQUEST, tr->method);
	curl_easy_setopt(tr->easy, CURLOPT_POSTFIELDSIZE, (long)len);
	curl_easy_setopt(tr->easy, CURLOPT_POSTFIELDS, data);
}

static void
transfer_begin(struct target_client *tc, struct transfer *tr)
{
	tr->easy = curl_easy_init();
	intake_init(&tr->intake, kIntakeBodyBytesMax);
	tr->progress_us = clock_mono_us(clock_system());
	curl_easy_setopt(tr->easy, CURLOPT_URL, tr->url);
	curl_easy_setopt(tr->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(tr->easy, CURLOPT_HTTPHEADER, tr->headers);
	curl_easy_setopt(tr->easy, CURLOPT_PRIVATE, tr);
	curl_easy_setopt(tr->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(tr->easy, CURLOPT_WRITEDATA, tr);
	curl_easy_setopt(tr->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(tr->easy, CURLOPT_HEADERDATA, tr);
	curl_easy_setopt(
	    tr->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)kConnectTimeoutMs);
	curl_easy_setopt(tr->easy, CURLOPT_MAXAGE_CONN, (long)kConnIdleMaxS);
	curl_easy_setopt(
	    tr->easy, CURLOPT_MAXLIFETIME_CONN, (long)kConnAgeMaxS);
	curl_easy_setopt(tr->easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(tr->easy, CURLOPT_TCP_KEEPIDLE, (long)kKeepaliveIdleS);
	curl_easy_setopt(
	    tr->easy, CURLOPT_TCP_KEEPINTVL, (long)kKeepaliveIntervalS);
	tr->guard.is_sent_once = tr->is_sent_once;
	send_guard_attach(tr->easy, &tr->guard);
	if (tr->is_sent_once)
		curl_easy_setopt(tr->easy, CURLOPT_FRESH_CONNECT, 1L);
	set_body(tr);
	g_hash_table_insert(tc->transfers, &tr->attempt, tr);
	curl_multi_add_handle(tc->multi, tr->easy);
}

static void
transfer_finish(
    struct target_client *tc, struct transfer *tr, enum transfer_end end)
{
	tr->result.end = end;
	tr->result.status = tr->intake.status;
	tr->result.has_answered = tr->intake.head_bytes > 0;
	tr->result.is_resent = send_guard_is_resent(&tr->guard);
	if ((tr->result.status != kHttpUnavailable &&
		tr->result.status != kHttpTooMany) ||
	    tr->result.is_foreign)
		tr->result.is_not_executed = false;
	curl_multi_remove_handle(tc->multi, tr->easy);
	tr->ops->on_done(tr->ctx, tr->attempt, &tr->result);
	g_hash_table_remove(tc->transfers, &tr->attempt);
}

static enum transfer_end
transfer_end_from_code(const struct transfer *tr, CURLcode code)
{
	if (tr->is_aborted_by_reader)
		return kTransferCancelled;
	if (intake_is_whole(&tr->intake, code))
		return kTransferComplete;
	return send_guard_is_unsent(&tr->guard) ? kTransferNotSent
						: kTransferInterrupted;
}

static void
finish_completed(struct target_client *tc)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(tc->multi, &left)) != NULL) {
		struct transfer *tr = NULL;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &tr);
		intake_record_sent(&tr->intake, tr->easy,
		    tr->body != NULL ? (int64_t)g_bytes_get_size(tr->body) : 0);
		intake_log(&tr->intake, tr->url, msg->data.result);
		transfer_finish(
		    tc, tr, transfer_end_from_code(tr, msg->data.result));
	}
}

/* @return false if the transfer is to end */
static bool
is_silence_allowed(struct transfer *tr, int64_t now_us)
{
	if (tr->ops->on_silent == NULL)
		return false;
	tr->silent_call_us = now_us;
	return tr->ops->on_silent(
	    tr->ctx, tr->attempt, now_us - tr->progress_us);
}

static void
finish_stalled(struct target_client *tc)
{
	int64_t now_us = clock_mono_us(clock_system());
	GPtrArray *stalled = g_ptr_array_new();
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, tc->transfers);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct transfer *tr = val;

		if (now_us - MAX(tr->progress_us, tr->silent_call_us) >
			tr->stall_timeout_us &&
		    !is_silence_allowed(tr, now_us))
			g_ptr_array_add(stalled, tr);
	}
	for (guint i = 0; i < stalled->len; i++)
		transfer_finish(tc, stalled->pdata[i], kTransferStalled);
	g_ptr_array_unref(stalled);
}

static void
run_commands(struct target_client *tc)
{
	struct command *cmd;

	while (ck_ring_dequeue_mpsc(&tc->ring, tc->slots, (void *)&cmd)) {
		struct transfer *tr = cmd->transfer;

		if (cmd->kind == kCommandStart) {
			transfer_begin(tc, tr);
		} else {
			tr = g_hash_table_lookup(tc->transfers, &cmd->attempt);
			if (tr != NULL)
				transfer_finish(tc, tr, kTransferCancelled);
		}
		g_free(cmd);
	}
}

static void *
client_thread(void *arg)
{
	struct target_client *tc = arg;
	int64_t next_stall_us = 0;

	while (!__atomic_load_n(&tc->is_stopping, __ATOMIC_ACQUIRE)) {
		int running;
		int64_t now_us;

		run_commands(tc);
		curl_multi_perform(tc->multi, &running);
		finish_completed(tc);
		now_us = clock_mono_us(clock_system());
		if (now_us >= next_stall_us) {
			finish_stalled(tc);
			next_stall_us = now_us + kPollMs * kUsPerMs;
		}
		curl_multi_poll(tc->multi, NULL, 0, kPollMs, NULL);
	}
	return NULL;
}

struct target_client *
target_client_new(void)
{
	struct target_client *tc = g_new0(struct target_client, 1);

	tc->multi = curl_multi_init();
	tc->transfers = u64_hash_new(transfer_free);
	ck_ring_init(&tc->ring, kCommandSlots);
	tc->slots = g_new0(ck_ring_buffer_t, kCommandSlots);
	pthread_create(&tc->thread, NULL, client_thread, tc);
	return tc;
}

void
target_client_free(struct target_client *tc)
{
	struct command *cmd;

	__atomic_store_n(&tc->is_stopping, true, __ATOMIC_RELEASE);
	curl_multi_wakeup(tc->multi);
	pthread_join(tc->thread, NULL);
	while (ck_ring_dequeue_mpsc(&tc->ring, tc->slots, (void *)&cmd)) {
		if (cmd->transfer != NULL)
			transfer_free(cmd->transfer);
		g_free(cmd);
	}
	g_hash_table_unref(tc->transfers);
	curl_multi_cleanup(tc->multi);
	g_free(tc->slots);
	g_free(tc);
}

static void
enqueue_command(struct target_client *tc, struct command *cmd)
{
	while (!ck_ring_enqueue_mpsc(&tc->ring, tc->slots, cmd))
		curl_multi_wakeup(tc->multi);
	curl_multi_wakeup(tc->multi);
}

void
target_client_start(
    struct target_client *tc, const struct transfer_options *opt)
{
	struct command *cmd = g_new0(struct command, 1);

	cmd->kind = kCommandStart;
	cmd->transfer = transfer_new(opt);
	enqueue_command(tc, cmd);
}

void
target_client_cancel(struct target_client *tc, uint64_t attempt)
{
	struct command *cmd = g_new0(struct command, 1);

	cmd->kind = kCommandCancel;
	cmd->attempt = attempt;
	enqueue_command(tc, cmd);
}

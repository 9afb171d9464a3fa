/*
 * Open-loop load generator: sends chat completions to daemons at a fixed rate,
 * regardless of the responses, and prints the results that callers observe.
 *
 * savorybench load URL[,URL...] --rate=N --seconds=N [--tokens=N] [--key=KEY]
 *   [--service=NAME] [--words=N]
 */
#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "http/intake.h"
#include "os/clock.h"
#include "stats.h"

struct load_options {
	char **urls;
	double rate;
	double seconds;
	int tokens;
	int words;
	const char *key;
	const char *service;
};

struct load_request {
	CURL *easy;
	char *body;
	struct curl_slist *headers;
	int64_t started_us;
	int64_t last_token_us;
	struct load_result *result;
	struct intake intake;
	bool is_complete;
};

struct load_result {
	GArray *first_token_us;
	GArray *between_tokens_us;
	int64_t sent;
	int64_t complete;
	int64_t refused;
	int64_t failed;
	int64_t tokens;
};

static const char *
flag_value(int argc, char **argv, const char *name, const char *fallback)
{
	size_t len = strlen(name);

	for (int i = 0; i < argc; i++)
		if (strncmp(argv[i], name, len) == 0 && argv[i][len] == '=')
			return argv[i] + len + 1;
	return fallback;
}

static int
count_events(const char *data, size_t len, bool *is_complete)
{
	int n = 0;

	for (const char *p = data;
	     (p = memmem(p, len - (size_t)(p - data), "data: ", 6)) != NULL;
	     p += 6) {
		if (strncmp(p + 6, "[DONE]", 6) == 0)
			*is_complete = true;
		else
			n++;
	}
	return n;
}

static size_t
on_data(char *data, size_t size, size_t nmemb, void *ctx)
{
	struct load_request *lr = ctx;
	int64_t now_us = clock_mono_us(clock_system());
	int events = count_events(data, size * nmemb, &lr->is_complete);

	for (int i = 0; i < events; i++) {
		int64_t gap_us = now_us -
		    (lr->last_token_us != 0 ? lr->last_token_us
					    : lr->started_us);

		g_array_append_val(lr->last_token_us == 0
			? lr->result->first_token_us
			: lr->result->between_tokens_us,
		    gap_us);
		lr->last_token_us = now_us;
		lr->result->tokens++;
	}
	return size * nmemb;
}

static size_t
on_header(char *data, size_t size, size_t nmemb, void *ctx)
{
	struct load_request *lr = ctx;

	switch (intake_line(&lr->intake, data, size * nmemb)) {
	case kIntakeLineRefused:
	case kIntakeLineMixed:
		return 0;
	default:
		return size * nmemb;
	}
}

static char *
make_body(const struct load_options *opt, int64_t n)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
	    "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%d,"
	    "\"messages\":[{\"role\":\"user\",\"content\":\"question %ld",
	    opt->service, opt->tokens, (long)n);
	for (int i = 0; i < opt->words; i++)
		g_string_append_printf(text, " word%d", i);
	g_string_append(text, "\"}]}");
	return g_string_free(text, FALSE);
}

static void
send_request(
    CURLM *multi, const struct load_options *opt, struct load_result *result)
{
	struct load_request *lr = g_new0(struct load_request, 1);
	guint urls = g_strv_length(opt->urls);
	char *url = g_strconcat(opt->urls[(guint)result->sent % urls],
	    "/v1/chat/completions", NULL);
	char *auth = g_strdup_printf("Authorization: Bearer %s", opt->key);

	lr->result = result;
	lr->body = make_body(opt, result->sent);
	lr->headers = curl_slist_append(NULL, auth);
	lr->headers = curl_slist_append(lr->headers, "Expect:");
	lr->easy = curl_easy_init();
	intake_init(&lr->intake, kIntakeStoreBytesMax);
	lr->started_us = clock_mono_us(clock_system());
	curl_easy_setopt(lr->easy, CURLOPT_URL, url);
	curl_easy_setopt(lr->easy, CURLOPT_HTTPHEADER, lr->headers);
	curl_easy_setopt(lr->easy, CURLOPT_POSTFIELDS, lr->body);
	curl_easy_setopt(lr->easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(lr->easy, CURLOPT_WRITEDATA, lr);
	curl_easy_setopt(lr->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(lr->easy, CURLOPT_HEADERDATA, lr);
	curl_easy_setopt(lr->easy, CURLOPT_PRIVATE, lr);
	curl_easy_setopt(lr->easy, CURLOPT_TIMEOUT, 120L);
	curl_multi_add_handle(multi, lr->easy);
	result->sent++;
	g_free(url);
	g_free(auth);
}

static void
finish_request(CURLM *multi, CURL *easy, CURLcode code)
{
	struct load_request *lr = NULL;
	bool is_whole;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &lr);
	is_whole = intake_is_whole(&lr->intake, code);
	if (is_whole && lr->intake.status == 200 && lr->is_complete)
		lr->result->complete++;
	else if (is_whole &&
	    (lr->intake.status == 503 || lr->intake.status == 429))
		lr->result->refused++;
	else
		lr->result->failed++;
	curl_multi_remove_handle(multi, easy);
	curl_easy_cleanup(easy);
	curl_slist_free_all(lr->headers);
	g_free(lr->body);
	g_free(lr);
}

static void
print_result(struct load_result *res, double seconds)
{
	stats_sort(res->first_token_us);
	stats_sort(res->between_tokens_us);
	printf("{\"sent\":%ld,\"whole\":%ld,\"refused\":%ld,\"failed\":%ld,"
	       "\"tokens_per_s\":%.1f,\"first_p50_ms\":%.3f,"
	       "\"first_p95_ms\":%.3f,\"first_p99_ms\":%.3f,"
	       "\"between_p50_ms\":%.3f,\"between_p95_ms\":%.3f}\n",
	    (long)res->sent, (long)res->complete, (long)res->refused,
	    (long)res->failed, (double)res->tokens / seconds,
	    stats_quantile_ms(res->first_token_us, 0.5),
	    stats_quantile_ms(res->first_token_us, 0.95),
	    stats_quantile_ms(res->first_token_us, 0.99),
	    stats_quantile_ms(res->between_tokens_us, 0.5),
	    stats_quantile_ms(res->between_tokens_us, 0.95));
}

static void
run_load(const struct load_options *opt, struct load_result *res)
{
	CURLM *multi = curl_multi_init();
	int64_t start_us = clock_mono_us(clock_system());
	int64_t total = (int64_t)(opt->rate * opt->seconds);
	int running = 1;

	while (res->sent < total || running > 0) {
		double elapsed_s =
		    (double)(clock_mono_us(clock_system()) - start_us) / 1e6;
		CURLMsg *msg;
		int remaining_messages;

		while (res->sent < total &&
		    (double)res->sent < elapsed_s * opt->rate)
			send_request(multi, opt, res);
		curl_multi_perform(multi, &running);
		while ((msg = curl_multi_info_read(
			    multi, &remaining_messages)) != NULL)
			if (msg->msg == CURLMSG_DONE)
				finish_request(
				    multi, msg->easy_handle, msg->data.result);
		curl_multi_poll(multi, NULL, 0, 2, NULL);
	}
	curl_multi_cleanup(multi);
}

int
bench_load(int argc, char **argv)
{
	struct load_result res = {0};
	struct load_options opt = {
	    .urls = g_strsplit(argc > 1 ? argv[1] : "", ",", -1),
	    .rate = atof(flag_value(argc, argv, "--rate", "10")),
	    .seconds = atof(flag_value(argc, argv, "--seconds", "5")),
	    .tokens = atoi(flag_value(argc, argv, "--tokens", "16")),
	    .words = atoi(flag_value(argc, argv, "--words", "20")),
	    .key = flag_value(argc, argv, "--key", "students-key"),
	    .service = flag_value(argc, argv, "--service", "assistant"),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	res.first_token_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	res.between_tokens_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	run_load(&opt, &res);
	print_result(&res, opt.seconds);
	g_array_unref(res.first_token_us);
	g_array_unref(res.between_tokens_us);
	g_strfreev(opt.urls);
	return res.failed > 0;
}

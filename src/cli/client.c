/* HTTP client of the command line. */
#include "cli/client.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { kClientTimeoutS = 120 };

static size_t
append_body(char *data, size_t size, size_t n, void *ctx)
{
	struct client_reply *reply = ctx;

	if (!intake_body(&reply->intake, size * n))
		return 0;
	g_string_append_len(reply->body, data, (gssize)(size * n));
	return size * n;
}

static void
read_field(struct client_reply *reply, const char *data, size_t len)
{
	char *line = g_strndup(data, len);

	if (g_ascii_strncasecmp(line, "Savoryflow-Next:", 16) == 0)
		reply->next = strtol(line + 16, NULL, 10);
	if (g_ascii_strncasecmp(line, "Savoryflow-Complete: yes", 24) == 0)
		reply->is_complete = true;
	g_free(line);
}

static size_t
on_header(char *data, size_t size, size_t n, void *ctx)
{
	struct client_reply *reply = ctx;

	switch (intake_line(&reply->intake, data, size * n)) {
	case kIntakeLineRefused:
	case kIntakeLineMixed:
	case kIntakeLineMalformed:
		return 0;
	case kIntakeLineField:
		read_field(reply, data, size * n);
		break;
	default:
		break;
	}
	return size * n;
}

static struct curl_slist *
request_headers(const struct client *cl, const struct client_request *req)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");

	if (cl->key != NULL) {
		char *auth =
		    g_strdup_printf("Authorization: Bearer %s", cl->key);

		list = curl_slist_append(list, auth);
		g_free(auth);
	}
	for (int i = 0; req->headers != NULL && req->headers[i] != NULL; i++)
		list = curl_slist_append(list, req->headers[i]);
	return list;
}

bool
client_perform(const struct client *cl, const struct client_request *req,
    struct client_reply *reply)
{
	CURL *h = curl_easy_init();
	struct curl_slist *headers = request_headers(cl, req);
	char *url = g_strconcat(cl->url, req->path, NULL);
	CURLcode res;

	reply->body = g_string_new(NULL);
	intake_init(&reply->intake, kIntakeStoreBytesMax);
	reply->next = -1;
	reply->is_complete = false;
	curl_easy_setopt(h, CURLOPT_URL, url);
	curl_easy_setopt(h, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(h, CURLOPT_TIMEOUT, (long)kClientTimeoutS);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, reply);
	curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(h, CURLOPT_HEADERDATA, reply);
	if (strcmp(req->method, "GET") != 0) {
		curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, req->method);
		curl_easy_setopt(
		    h, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)req->body_len);
		curl_easy_setopt(
		    h, CURLOPT_POSTFIELDS, req->body != NULL ? req->body : "");
	}
	res = curl_easy_perform(h);
	intake_record_sent(&reply->intake, h, (int64_t)req->body_len);
	reply->status = reply->intake.status;
	curl_slist_free_all(headers);
	curl_easy_cleanup(h);
	g_free(url);
	return intake_is_whole(&reply->intake, res);
}

bool
client_perform_or_report(const struct client *cl,
    const struct client_request *req, struct client_reply *reply)
{
	if (client_perform(cl, req, reply))
		return true;
	if (reply->intake.head_bytes > 0)
		fprintf(stderr,
		    "savoryflow: the answer of %s broke off; the request may "
		    "have been executed\n",
		    cl->url);
	else
		fprintf(
		    stderr, "savoryflow: no daemon answers at %s\n", cl->url);
	return false;
}

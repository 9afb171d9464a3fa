/* Chat completions, streamed or whole. */
#include <string.h>

#include "api/api_call.h"
#include "error/error.h"
#include "os/json_text.h"

enum {
	/* Block size of a streamed response. */
	kStreamBlockBytes = 16384,
};

static bool
has_valid_messages(const json_t *doc)
{
	const json_t *messages = json_object_get(doc, "messages");
	const json_t *msg;
	size_t i;

	if (!json_is_array(messages) || json_array_size(messages) == 0)
		return false;
	json_array_foreach((json_t *)messages, i, msg)
	{
		if (!json_is_string(json_object_get(msg, "content")) ||
		    !json_is_string(json_object_get(msg, "role")))
			return false;
	}
	return true;
}

static GBytes *
body_for_streaming(json_t *doc)
{
	char *text;

	json_object_set_new(doc, "stream", json_true());
	text = json_dumps(doc, JSON_COMPACT);
	return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

static void
start_chat(struct request *req, json_t *doc)
{
	const char *model = json_string_value(json_object_get(doc, "model"));
	struct config *cfg = config_holder_get(req->d->configs);
	const struct config_service *svc = api_call_find_service(cfg, model);
	struct call_options opt = {
	    .work_class = kWorkOnline,
	    .service = model,
	    .is_engine = true,
	    .is_streamed = json_is_true(json_object_get(doc, "stream")),
	    .is_idempotent = true,
	    .team = req->team,
	    .weight = 1,
	    .deadline_us = api_call_deadline_us(req),
	    .due_us = INT64_MAX / 2,
	    .notify = api_call_notify,
	    .release = api_call_release,
	    .ctx = req,
	};

	if (svc == NULL || !svc->is_engine) {
		request_reply_error(req, kErrUnknownService,
		    "the model is not an engine service of the configuration",
		    0);
	} else if (api_call_admit(req, model, true)) {
		req->wants_stream = opt.is_streamed;
		opt.body = body_for_streaming(doc);
		api_call_start(req, &opt);
		g_bytes_unref(opt.body);
	}
	config_unref(cfg);
}

void
chat_start(struct request *req)
{
	json_t *doc = json_text_load_bytes(req->body->str, req->body->len);

	if (doc == NULL || !json_is_object(doc))
		request_reply_error(req, kErrBadJson,
		    "the request body is not a JSON object, or is nested too "
		    "deeply",
		    0);
	else if (!has_valid_messages(doc))
		request_reply_error(req, kErrBadRequest,
		    "messages must be an array of {\"role\",\"content\"}", 0);
	else
		start_chat(req, doc);
	json_decref(doc);
}

static void
append_event(struct request *req, json_t *doc)
{
	char *text = json_dumps(doc, JSON_COMPACT);

	g_string_append_printf(req->pending_events, "data: %s\n\n", text);
	free(text);
	json_decref(doc);
}

static void
append_token(struct request *req, const char *token)
{
	append_event(req,
	    json_pack("{s:s,s:s,s:[{s:i,s:{s:s},s:n}]}", "id", "savoryflow",
		"object", "chat.completion.chunk", "choices", "index", 0,
		"delta", "content", token, "finish_reason"));
}

static void
append_tokens(struct request *req)
{
	char *token;

	while (req->pending_events->len < kStreamBlockBytes / 2 &&
	    (token = call_next_token(req->call)) != NULL) {
		append_token(req, token);
		g_free(token);
	}
}

/* The last event: the end marker, or the error that interrupted the answer. */
static void
append_end(struct request *req, const struct call_view *view)
{
	if (view->error >= 0)
		append_event(req,
		    request_error_json(
			view->error, api_call_error_text(view->error)));
	else
		g_string_append(req->pending_events, "data: [DONE]\n\n");
	req->is_stream_ended = true;
}

static ssize_t
copy_events(struct request *req, char *buf, size_t max)
{
	size_t n = MIN(max, req->pending_events->len);

	memcpy(buf, req->pending_events->str, n);
	g_string_erase(req->pending_events, 0, (gssize)n);
	return (ssize_t)n;
}

static ssize_t
read_stream(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct request *req = cls;

	for (;;) {
		/* Read before the tokens, so that none are missed. */
		struct call_view view = call_view_get(req->call);

		append_tokens(req);
		if (req->pending_events->len == 0 && view.is_done &&
		    !req->is_stream_ended)
			append_end(req, &view);
		if (req->pending_events->len > 0)
			return copy_events(req, buf, max);
		if (req->is_stream_ended)
			return MHD_CONTENT_READER_END_OF_STREAM;
		if (req->is_aborted)
			return MHD_CONTENT_READER_END_WITH_ERROR;
		if (request_wait(req))
			return 0;
	}
}

static void
reply_stream(struct request *req)
{
	req->pending_events = g_string_new(NULL);
	req->status = MHD_HTTP_OK;
	req->response = MHD_create_response_from_callback(
	    MHD_SIZE_UNKNOWN, kStreamBlockBytes, read_stream, req, NULL);
	request_reply_header(req, "Content-Type", "text/event-stream");
	request_reply_header(req, "Cache-Control", "no-store");
}

static void
reply_complete(struct request *req, const struct call_view *view)
{
	char *text = call_text(req->call);
	json_t *doc = json_pack("{s:s,s:s,s:[{s:i,s:{s:s,s:s},s:s}],s:{s:I}}",
	    "id", "savoryflow", "object", "chat.completion", "choices", "index",
	    0, "message", "role", "assistant", "content", text, "finish_reason",
	    "stop", "usage", "completion_tokens", (json_int_t)view->tokens);

	request_reply_json(req, MHD_HTTP_OK, doc);
	g_free(text);
}

void
chat_step(struct request *req)
{
	while (req->call != NULL && req->response == NULL) {
		struct call_view view = api_call_view(req);

		if (api_call_reply_aborted(req, &view))
			return;
		if (view.is_done && view.error >= 0 &&
		    (!req->wants_stream || view.tokens == 0))
			api_call_reply_error(req, &view);
		else if (req->wants_stream && (view.tokens > 0 || view.is_done))
			reply_stream(req);
		else if (view.is_done)
			reply_complete(req, &view);
		else if (request_wait(req))
			return;
	}
}

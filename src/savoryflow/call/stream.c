/* Parser of an engine's event stream. */
#include "savoryflow/call/stream.h"

#include "os/json_text.h"
#include "os/text_copy.h"

#include <jansson.h>
#include <string.h>

/* A longer line is malformed. */
enum { kLineMaxBytes = 65536 };

void
answer_stream_init(struct answer_stream *st)
{
	memset(st, 0, sizeof(*st));
	st->text = g_string_new(NULL);
	st->line = g_string_new(NULL);
}

void
answer_stream_clear(struct answer_stream *st)
{
	g_string_free(st->text, TRUE);
	g_string_free(st->line, TRUE);
}

void
answer_stream_start_attempt(struct answer_stream *st, const char *attempt)
{
	text_copy_or_none(st->attempt, sizeof(st->attempt), attempt);
	g_string_truncate(st->line, 0);
	st->status = kStreamOpen;
}

static const char *
chunk_content(json_t *chunk)
{
	json_t *choice = json_array_get(json_object_get(chunk, "choices"), 0);

	return json_string_value(
	    json_object_get(json_object_get(choice, "delta"), "content"));
}

static enum stream_status
apply_chunk(struct answer_stream *st, json_t *chunk, answer_token_fn on_token,
    void *ctx)
{
	const char *id = json_string_value(json_object_get(chunk, "id"));
	json_t *index = json_object_get(chunk, "index");
	const char *content = chunk_content(chunk);

	if (id == NULL || strcmp(id, st->attempt) != 0)
		return kStreamIdMismatch;
	if (content == NULL || !json_is_integer(index))
		return kStreamMalformed;
	if (json_integer_value(index) < st->next_index)
		return kStreamOpen;
	if (json_integer_value(index) > st->next_index)
		return kStreamMalformed;
	st->next_index++;
	g_string_append(st->text, content);
	on_token(ctx, content);
	return kStreamOpen;
}

static enum stream_status
apply_line(struct answer_stream *st, answer_token_fn on_token, void *ctx)
{
	enum stream_status status;
	json_t *chunk;

	if (st->line->len == 0 || !g_str_has_prefix(st->line->str, "data: "))
		return kStreamOpen;
	if (strcmp(st->line->str, "data: [DONE]") == 0)
		return kStreamComplete;
	chunk = json_text_load(st->line->str + strlen("data: "));
	if (chunk == NULL)
		return kStreamMalformed;
	status = apply_chunk(st, chunk, on_token, ctx);
	json_decref(chunk);
	return status;
}

enum stream_status
answer_stream_feed(struct answer_stream *st, const char *data, size_t len,
    answer_token_fn on_token, void *ctx)
{
	for (size_t i = 0; i < len && st->status == kStreamOpen; i++) {
		if (data[i] == '\r')
			continue;
		if (data[i] != '\n') {
			g_string_append_c(st->line, data[i]);
			if (st->line->len > kLineMaxBytes)
				st->status = kStreamMalformed;
			continue;
		}
		st->status = apply_line(st, on_token, ctx);
		g_string_truncate(st->line, 0);
	}
	return st->status;
}

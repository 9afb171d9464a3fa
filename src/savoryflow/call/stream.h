#ifndef SAVORYFLOW_CALL_STREAM_H
#define SAVORYFLOW_CALL_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The answer of an engine as server-sent events, over all attempts of one
 * request. Each chunk carries the attempt's id and the token's index:
 *   data: {"id":"ATTEMPT","index":N,"choices":[{"delta":{"content":"..."}}]}
 * and the last event is "data: [DONE]". Only that end makes the answer whole.
 */

enum stream_status {
	kStreamOpen,
	/** The end marker has come. */
	kStreamComplete,
	/** A chunk of another attempt: the answer is not this request's. */
	kStreamIdMismatch,
	/** Not the expected protocol, or a token index out of order. */
	kStreamMalformed,
};

struct answer_stream {
	/** Attempt id that every chunk must carry. */
	char attempt[32];
	/** Index of the next token that the caller has not seen. */
	int64_t next_index;
	/** Tokens so far, joined. */
	GString *text;
	/** Bytes of the line that is still incomplete. */
	GString *line;
	enum stream_status status;
};

/** Takes each new token once; text is not terminated after len bytes. */
typedef void (*answer_token_fn)(void *ctx, const char *content);

void answer_stream_init(struct answer_stream *st);
void answer_stream_clear(struct answer_stream *st);

/** Starts a new attempt, which goes on at next_index. */
void answer_stream_start_attempt(struct answer_stream *st, const char *attempt);

/** Takes bytes of the present attempt. Tokens seen before are dropped. */
enum stream_status answer_stream_feed(struct answer_stream *st,
    const char *data, size_t len, answer_token_fn on_token, void *ctx);

#endif

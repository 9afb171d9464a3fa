#ifndef SAVORYFLOW_CALL_STREAM_H
#define SAVORYFLOW_CALL_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The answer of an engine as server-sent events, across all attempts of one
 * request. Each chunk carries the attempt's id and the token's index:
 *   data: {"id":"ATTEMPT","index":N,"choices":[{"delta":{"content":"..."}}]}
 * The answer is complete only after the final event "data: [DONE]".
 */

enum stream_status {
	kStreamOpen,
	/** The end marker was received. */
	kStreamComplete,
	/** A chunk of another attempt: not the answer to this request. */
	kStreamIdMismatch,
	/** Protocol violation, or a token index out of order. */
	kStreamMalformed,
};

struct answer_stream {
	/** Attempt id that every chunk must carry. */
	char attempt[32];
	/** Index of the next token to deliver to the caller. */
	int64_t next_index;
	/** Text of all tokens so far. */
	GString *text;
	/** Bytes of an incomplete line. */
	GString *line;
	enum stream_status status;
};

/** Called once per new token with its NUL-terminated text. */
typedef void (*answer_token_fn)(void *ctx, const char *content);

void answer_stream_init(struct answer_stream *st);
void answer_stream_clear(struct answer_stream *st);

/** Starts a new attempt, which continues at next_index. */
void answer_stream_start_attempt(struct answer_stream *st, const char *attempt);

/** Parses bytes of the current attempt; drops tokens already delivered. */
enum stream_status answer_stream_feed(struct answer_stream *st,
    const char *data, size_t len, answer_token_fn on_token, void *ctx);

#endif

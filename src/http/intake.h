#ifndef SAVORYFLOW_HTTP_INTAKE_H
#define SAVORYFLOW_HTTP_INTAKE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "os/clock.h"

/*
 * Limits of what a server may send as one answer. A client that meets one
 * closes the connection; the request may have run.
 */
enum {
	/* All heads of an answer: interim ones and trailers included. */
	kIntakeHeadBytesMax = 64 * 1024,
	/* Bytes that are neither head nor body: chunk sizes and extensions, an
	 * unfinished line; and more with each byte of the body, as a chunk may
	 * hold a single one. */
	kIntakeFramingBytesMax = 64 * 1024,
	kIntakeFramingPerBodyByte = 16,
	/* From the first byte of a head to its end: it is sent at once. */
	kIntakeHeadTimeUs = 2 * kUsPerS,
	/* Body that is kept whole. */
	kIntakeBodyBytesMax = 4 * 1024 * 1024,
	/* Bytes of a stream without a complete event. */
	kIntakeEventBytesMax = 1024 * 1024,
	/* Store: the largest object is a job with its items' bodies. */
	kIntakeStoreBytesMax = 16 * 1024 * 1024,
};

/** What has arrived of one answer. */
struct intake {
	int64_t head_bytes;
	int64_t body_bytes;
	/** Body bytes that may still follow. */
	int64_t body_left;
	/** Bytes of the connection that were read for this answer. */
	int64_t wire_bytes;
	/** Bytes of interim heads that are complete. */
	int64_t interim_bytes;
	/** Since when a head is incomplete; 0: it is not. */
	int64_t head_since_us;
	bool has_head;
	/** Limit that was met, for the log; NULL: none. */
	const char *limit;
};

/** @param body_bytes_max body bytes allowed */
void intake_init(struct intake *in, int64_t body_bytes_max);

/** Counts a line of a head or trailer. @return false: close the connection */
bool intake_head(struct intake *in, size_t len);

/** A head is complete. @param is_final false: it is an interim one (1xx) */
void intake_head_end(struct intake *in, bool is_final);

/**
 * Checks what no other function sees: bytes that complete no line, or belong
 * to the framing of the body, and the time that a head takes.
 * @param wire_bytes bytes of the connection that were read for this answer
 * @return false: close the connection
 */
bool intake_wire(struct intake *in, int64_t wire_bytes, int64_t now_us);

/** Counts a part of the body. @return false: close the connection */
bool intake_body(struct intake *in, size_t len);

/** Allows so many further body bytes: the answer has made progress. */
void intake_allow_body(struct intake *in, int64_t bytes);

/**
 * Logs that an answer was cut, if a limit was met.
 * @param server address or URL
 */
void intake_log(const struct intake *in, const char *server);

#endif

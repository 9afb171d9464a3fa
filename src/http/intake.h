#ifndef SAVORYFLOW_HTTP_INTAKE_H
#define SAVORYFLOW_HTTP_INTAKE_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http/head_line.h"
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

/** What a line is that libcurl passes to the header callback. */
enum intake_line {
	/** Close the connection: a limit is met, or it is no HTTP answer. */
	kIntakeLineRefused,
	/** A status line within a head: two answers were mixed. */
	kIntakeLineMixed,
	/** A field of a head or trailer that is none: close the connection. */
	kIntakeLineMalformed,
	kIntakeLineStatus,
	kIntakeLineField,
	/** The empty line after an interim head (1xx). */
	kIntakeLineInterimEnd,
	/** The empty line after the final head. */
	kIntakeLineEnd,
	kIntakeLineTrailer,
};

/**
 * What has arrived of one answer. libcurl reports success for a connection
 * that ends within a head, so an answer is judged by intake_is_whole and its
 * status is the one kept here.
 */
struct intake {
	/** Status of the final head; 0 until that head is complete. */
	int32_t status;
	/** Status that the last status line names; 0: none has arrived. */
	int32_t head_status;
	/** Between a status line and the end of its head. */
	bool is_in_head;
	/** A head began with no status line, or had one inside. */
	bool is_garbled;
	/** A head or trailer had a line that is no field, or framing that is
	 * not certain. */
	bool is_malformed;
	/** Of the last head. */
	struct head_framing framing;
	/** The transfer ended before the server had the request. */
	bool is_request_cut;
	/** Bytes of the request that the server's machine had not acknowledged
	 * when the connection was last read; 0 if unknown. */
	int32_t unacknowledged_bytes;
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
	/** Limit that was met, for the log; NULL: none. */
	const char *limit;
};

/** @param body_bytes_max body bytes allowed */
void intake_init(struct intake *in, int64_t body_bytes_max);

/** Counts a line of a head or trailer and tells what it is. */
enum intake_line intake_line(struct intake *in, const char *line, size_t len);

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
 * Records how much of the request is on its way at a read of the connection. A
 * server that has the whole request acknowledges it with its answer at the
 * latest; what only fits into the socket's buffer counts as sent for libcurl.
 * @param bytes not acknowledged
 */
void intake_set_unacknowledged(struct intake *in, int32_t bytes);

/**
 * Records whether the request was sent; to be called at the end of a transfer,
 * before intake_is_whole.
 * @param body_bytes length of the request's body
 */
void intake_record_sent(struct intake *in, CURL *easy, int64_t body_bytes);

/**
 * True if the final head and the body have arrived. Anything else is no answer:
 * nothing of it may be used, and the request may have run. A body with neither
 * a length nor chunks ends with its connection: that end is the server's only
 * if it had the whole request before, for a connection that ends during the
 * upload has failed, whether the library has seen a reset or not.
 * @param code how libcurl ended the transfer
 */
bool intake_is_whole(const struct intake *in, CURLcode code);

/**
 * Logs an answer that met a limit, or that its server broke off.
 * @param server address or URL
 */
void intake_log(const struct intake *in, const char *server, CURLcode code);

#endif

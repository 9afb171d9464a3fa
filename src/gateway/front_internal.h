#ifndef SAVORYFLOW_GATEWAY_FRONT_INTERNAL_H
#define SAVORYFLOW_GATEWAY_FRONT_INTERNAL_H

#include <microhttpd.h>

#include "gateway/front.h"
#include "savoryflow/budget/budget.h"

/* Shared by front*.c. */

struct front {
	struct front_options opt;
	/** NULL once it is closed. */
	struct MHD_Daemon *mhd;
	int epoll_fd;
	/** Set of struct front_request. */
	GHashTable *requests;
	/** Set of struct front_connection. */
	GHashTable *connections;
	bool is_closing;
	/** The server stops: a request that it closes now is cut. */
	bool is_stopping;
	/** No more connections are accepted. */
	bool is_quiesced;
	/** Connections that the budget closes; they count no longer. */
	int32_t closing_count;
	struct front_counts counts;
	int64_t body_max;
	bool needs_run;
	uint64_t disconnect_timer;
	uint64_t mhd_timer;
};

struct front_connection {
	struct front *fr;
	int fd;
	/** Its request from the first line on, or NULL. */
	struct front_request *request;
	/** Its share of the budget. */
	struct budget_debtor debt;
	bool is_closing;
	/** Number of its requests from their first line on, 0 or 1. */
	int32_t request_count;
	/** Time at which it was accepted or its last answer ended. */
	int64_t idle_since_us;
};

enum {
	/** Holds the heads of a request, 16 KiB, and of its answer, and parts
	 * of the request's body. */
	kConnectionMemoryBytes = 32768,
};

struct front_request {
	struct front *fr;
	struct front_connection *peer;
	struct MHD_Connection *con;
	char *uri;
	char *method;
	struct header_list *headers;
	GByteArray *body;
	/** Limit when it began to arrive. */
	int64_t body_max;
	GBytes *received_body;
	bool has_head;
	bool is_too_large;
	/** It was not forwarded, whatever its fields say. */
	bool is_own;
	/** It was refused before its end; nothing more may be sent. */
	bool is_refused;
	/** Refused: its connection is closed then. */
	int64_t linger_until_us;
	bool is_suspended;
	/** on_request was called, and the answer is not complete. */
	bool is_open;
	/** The caller has disconnected, or the server stops. */
	bool is_disconnected;
	int64_t received_us;
	front_disconnect_fn disconnect_fn;
	void *disconnect_data;
	front_disconnect_fn memory_short_fn;
	void *memory_short_data;

	struct MHD_Response *response;
	unsigned int status;
	bool is_queued;
	/** HTTP/1.0: a streamed answer ends with its connection. */
	bool lacks_chunks;
	/** Streamed answers: bytes not sent yet. */
	bool is_streamed;
	GString *out;
	/** Bytes of out that are sent already. */
	size_t out_sent;
	/** More bytes wait than a caller may leave unread. */
	bool is_overrun;
	bool is_ended;
	bool is_complete;
};

/** The caller has disconnected or gets no answer of its target. */
void front_close_request(struct front_request *req);

/** Suspends the connection of a request that waits. */
void front_suspend(struct front_request *req);

/** Resumes the connection of a request that waits. */
void front_resume(struct front_request *req);

/** Runs libmicrohttpd at the end of this iteration. */
void front_schedule_run(struct front *fr);

/** Records a request that ends without a complete answer. */
void front_record_cut(struct front_request *req);

/** Counts the connections and requests as they are. */
void front_count(struct front *fr);

#endif

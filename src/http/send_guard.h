#ifndef SAVORYFLOW_HTTP_SEND_GUARD_H
#define SAVORYFLOW_HTTP_SEND_GUARD_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * How often libcurl has sent a request. libcurl sends it again by itself when a
 * kept connection ends before the first byte of the answer; the first copy may
 * have been executed, whatever happens to the second one.
 */
struct send_guard {
	/** A second sending ends the transfer instead. */
	bool is_sent_once;
	int32_t sendings;
};

/** To be called before each sending. @return a value for
 * CURLOPT_PREREQFUNCTION */
int send_guard_on_request(struct send_guard *sg);

/** Makes the handle ask the guard, which has to outlive the transfer. */
void send_guard_attach(CURL *easy, struct send_guard *sg);

/** True if no byte of the request has left: it was certainly not executed. */
bool send_guard_is_unsent(const struct send_guard *sg);

/** True if the answer is that to a second copy: the first one may have been
 * executed, even if the second was refused. */
bool send_guard_is_resent(const struct send_guard *sg);

#endif

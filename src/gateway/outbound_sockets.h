#ifndef SAVORYFLOW_GATEWAY_OUTBOUND_SOCKETS_H
#define SAVORYFLOW_GATEWAY_OUTBOUND_SOCKETS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The sockets of connections to targets. libcurl reuses a connection with
 * unread bytes and gives no access to its socket before it sends a request.
 */
struct outbound_sockets;

/** Ends of an open connection. */
struct outbound_path {
	const char *remote_ip;
	int remote_port;
	int local_port;
};

struct outbound_sockets *outbound_sockets_new(void);
void outbound_sockets_free(struct outbound_sockets *os);

/** @param path copied */
void outbound_sockets_add(
    struct outbound_sockets *os, int fd, const struct outbound_path *path);

/**
 * Records that a request is about to be sent on a connection. A target may send
 * an answer a second time when the next one is expected there; an id that was
 * sent before could not tell the copy from the answer.
 * @param id hash of the request's id; 0: it has none
 * @return false if a request with this id was sent on the connection before, or
 *         if there were too many to know
 */
bool outbound_sockets_take_id(
    struct outbound_sockets *os, const struct outbound_path *path, uint64_t id);

/** To be called before the socket is closed; unknown ones are allowed. */
void outbound_sockets_remove(struct outbound_sockets *os, int fd);

enum socket_input {
	kSocketQuiet,
	kSocketHasBytes,
	kSocketEnded,
};

/** What can be read from a connection; reads nothing. */
enum socket_input outbound_sockets_input(
    const struct outbound_sockets *os, const struct outbound_path *path);

/** Makes the kernel close a connection whose other end does not acknowledge,
 * also while nothing is sent. */
void outbound_sockets_detect_loss(int fd);

#endif

#ifndef SAVORYFLOW_NET_ADDRESS_H
#define SAVORYFLOW_NET_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/**
 * Parses "IP:PORT": an IPv4 address of one host and a port from 1 to 65535,
 * without anything around them.
 * @return false if the text is anything else
 */
bool net_address_parse(const char *text, struct sockaddr_in *address);

#endif

/* Addresses of TCP sockets as text. */
#include "os/net_address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

enum {
	kPortDigitsMax = 5,
	kPortMax = 65535,
};

static bool
parse_port(const char *text, in_port_t *port)
{
	size_t len = strlen(text);
	guint64 number;

	if (len == 0 || len > kPortDigitsMax ||
	    strspn(text, "0123456789") != len)
		return false;
	number = g_ascii_strtoull(text, NULL, 10);
	*port = htons((uint16_t)number);
	return number >= 1 && number <= kPortMax;
}

static bool
is_one_host(struct in_addr ip)
{
	uint32_t host = ntohl(ip.s_addr);

	return host != INADDR_ANY && host != INADDR_BROADCAST &&
	    !IN_MULTICAST(host);
}

bool
net_address_parse(const char *text, struct sockaddr_in *address)
{
	const char *colon = strchr(text, ':');
	char ip[INET_ADDRSTRLEN];

	if (colon == NULL || (size_t)(colon - text) >= sizeof(ip))
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	*address = (struct sockaddr_in){.sin_family = AF_INET};
	return inet_pton(AF_INET, ip, &address->sin_addr) == 1 &&
	    is_one_host(address->sin_addr) &&
	    parse_port(colon + 1, &address->sin_port);
}

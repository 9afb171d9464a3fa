#ifndef SAVORYFLOW_GATEWAY_STATUS_H
#define SAVORYFLOW_GATEWAY_STATUS_H

#include <jansson.h>
#include <stdbool.h>

struct gateway;

/** A part of the status, named like the module that describes itself. */
struct status_section {
	const char *name;
	/** @return new reference; NULL: the part is not in use */
	json_t *(*describe)(const struct gateway *gw);
};

/** Whether a request of the metrics listener asks for the status. */
bool gateway_status_is_requested(const char *uri);

/** The daemon's status as indented JSON; free with free(). */
char *gateway_status_text(const struct gateway *gw);

#endif

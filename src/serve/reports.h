#ifndef SAVORYFLOW_SERVE_REPORTS_H
#define SAVORYFLOW_SERVE_REPORTS_H

#include "serve/daemon.h"

/**
 * Fetches the load reports of the targets that this daemon arbitrates, once per
 * period. If a report shows another model version than the configuration,
 * orders the configured one.
 */
void reports_tick(struct daemon *d, int64_t now_us);

#endif

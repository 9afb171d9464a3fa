#ifndef SAVORYFLOW_SERVE_REPORTS_H
#define SAVORYFLOW_SERVE_REPORTS_H

#include "serve/daemon.h"

/**
 * Reads the load reports of the targets that this daemon arbitrates, once a
 * period, and orders the model version of the configuration where a report
 * shows another one.
 */
void reports_tick(struct daemon *d, int64_t now_us);

#endif

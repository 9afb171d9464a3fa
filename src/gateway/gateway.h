#ifndef SAVORYFLOW_GATEWAY_GATEWAY_H
#define SAVORYFLOW_GATEWAY_GATEWAY_H

#include "gateway/dialect.h"
#include "settings/settings.h"

/**
 * Runs the gateway through an adapter until it is told to stop.
 * @return exit code
 */
int gateway_run(struct settings *set, const struct adapter_ops *adapter);

#endif

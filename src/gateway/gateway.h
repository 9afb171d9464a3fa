#ifndef SAVORYFLOW_GATEWAY_GATEWAY_H
#define SAVORYFLOW_GATEWAY_GATEWAY_H

#include "gateway/dialect.h"
#include "settings/settings.h"

/**
 * Runs the gateway with an adapter until a signal stops it.
 * @return exit code
 */
int gateway_run(struct settings *set, const struct adapter_ops *adapter);

#endif

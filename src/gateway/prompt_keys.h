#ifndef SAVORYFLOW_GATEWAY_PROMPT_KEYS_H
#define SAVORYFLOW_GATEWAY_PROMPT_KEYS_H

#include "gateway/dialect.h"
#include "savoryflow/slotpool/slotpool_defs.h"

/**
 * Keys under which targets are assumed to keep the parts of a prompt: each
 * stands for its part and all before it.
 */
struct slot_parts prompt_keys(const struct prompt_parts *parts);

#endif

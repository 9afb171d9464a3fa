#ifndef SAVORYFLOW_RENDEZVOUS_H
#define SAVORYFLOW_RENDEZVOUS_H

#include <stdint.h>

/** Weight of a node for a key; the node with the greatest weight owns it. */
uint64_t rendezvous_weight(const char *key, const char *node);

#endif

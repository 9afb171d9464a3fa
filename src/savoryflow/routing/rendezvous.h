#ifndef SAVORYFLOW_RENDEZVOUS_H
#define SAVORYFLOW_RENDEZVOUS_H

#include <stdint.h>

/** Weight of a member for a key; the highest weight owns the key. */
uint64_t rendezvous_weight(const char *key, const char *member);

#endif

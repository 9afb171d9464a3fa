/* Rendezvous (highest random weight) hashing. */
#include "savoryflow/routing/rendezvous.h"

#include <string.h>
#include <xxhash.h>

uint64_t
rendezvous_weight(const char *key, const char *member)
{
	uint64_t seed = XXH3_64bits(key, strlen(key));

	return XXH3_64bits_withSeed(member, strlen(member), seed);
}

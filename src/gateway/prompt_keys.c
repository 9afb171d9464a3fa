/* Keys of the shared parts of a prompt. */
#include "gateway/prompt_keys.h"

#include <xxhash.h>

struct slot_parts
prompt_keys(const struct prompt_parts *parts)
{
	struct slot_parts keys = {.count = MIN(parts->count, kSlotPartsMax)};
	uint64_t key = 0;

	for (int32_t i = 0; i < keys.count; i++) {
		key = XXH3_64bits_withSeed(
		    &parts->ids[i], sizeof(parts->ids[i]), key);
		keys.keys[i] = key;
		keys.tokens[i] = parts->tokens[i];
	}
	return keys;
}

#ifndef STANDIN_ANSWER_H
#define STANDIN_ANSWER_H

#include <stdint.h>
#include <xxhash.h>

/* The engine's answer depends only on its prompt, so tests can predict it. */

enum { kStandinAnswerTokens = 16 };

/** @return N of "wN ", the word at the index of an answer */
static inline unsigned
standin_answer_word(uint64_t prompt_hash, int32_t index)
{
	return (
	    unsigned)(XXH3_64bits_withSeed(&index, sizeof(index), prompt_hash) %
	    1000);
}

#endif

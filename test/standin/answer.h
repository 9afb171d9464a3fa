#ifndef STANDIN_ANSWER_H
#define STANDIN_ANSWER_H

#include <stdint.h>
#include <xxhash.h>

/* The engine's answer is a function of its prompt, known to the tests. */

enum { kStandinAnswerTokens = 16 };

/** Number in the word at an index of the answer: "wN ". */
static inline unsigned
standin_answer_word(uint64_t prompt_hash, int32_t index)
{
	return (
	    unsigned)(XXH3_64bits_withSeed(&index, sizeof(index), prompt_hash) %
	    1000);
}

#endif

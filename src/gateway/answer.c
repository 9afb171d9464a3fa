/* Decides whether a response is the answer to the attempt that was sent. */
#include "gateway/answer.h"

enum answer_verdict
answer_judge(const struct dialect_response *response, bool is_first)
{
	bool lacks_attempt =
	    response->attempt_id == NULL || response->attempt_id[0] == '\0';

	if (response->has_matching_attempt)
		return kAnswerOwn;
	/* Targets may refuse without the id. A first response is no copy. */
	if (lacks_attempt && response->was_not_executed)
		return is_first ? kAnswerOwn : kAnswerUnproven;
	return kAnswerForeign;
}

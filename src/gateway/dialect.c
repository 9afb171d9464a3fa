/* What an adapter has decoded. */
#include "gateway/dialect.h"

void
dialect_call_clear(struct dialect_call *call)
{
	g_clear_pointer(&call->attempt_id, g_free);
	g_clear_pointer(&call->job_id, g_free);
	g_clear_pointer(&call->item_id, g_free);
}

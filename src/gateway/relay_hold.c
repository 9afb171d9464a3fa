/* Memory of what a target has sent and the relay has not passed on. */
#include "gateway/relay_internal.h"

/* Asks only if the size changes: buffers grow in powers of two. */
static bool
hold(struct relay *rl, size_t bytes)
{
	if (bytes == rl->held_bytes)
		return true;
	if (rl->opt.ops->hold_answer != NULL &&
	    !rl->opt.ops->hold_answer(rl->opt.ctx, bytes))
		return false;
	rl->held_bytes = bytes;
	return true;
}

/* Size of the buffer that holds so many bytes and a NUL. */
static size_t
buffer_size(const GString *buffer, size_t len)
{
	size_t size = buffer->allocated_len;

	while (size <= len)
		size *= 2;
	return size;
}

bool
relay_hold_body(struct relay *rl, size_t len)
{
	rl->lacks_memory =
	    !hold(rl, buffer_size(rl->answer_body, rl->answer_body->len + len));
	return !rl->lacks_memory;
}

bool
relay_hold_events(struct relay *rl)
{
	rl->lacks_memory = !hold(rl, event_splitter_buffer_size(&rl->events));
	return !rl->lacks_memory;
}

void
relay_release_answer(struct relay *rl)
{
	if (rl->answer_body != NULL)
		g_string_free(rl->answer_body, TRUE);
	rl->answer_body = g_string_new(NULL);
	event_splitter_restart(&rl->events);
	hold(rl, 0);
}

static void
on_dropped(void *ctx)
{
	struct relay *rl = ctx;

	rl->drop_timer = 0;
	relay_fail_attempt(rl, kSlotNeutral, "no_memory");
}

void
relay_drop_answer(struct relay *rl)
{
	if (rl->request != NULL)
		outbound_cancel(rl->request);
	rl->request = NULL;
	relay_release_answer(rl);
	if (rl->drop_timer == 0)
		rl->drop_timer = loop_timer(
		    rl->deps.lp, loop_now_us(rl->deps.lp), on_dropped, rl);
}

/* Progress of a job's items, for the daemon that takes the job over. */
#include "gateway/jobs_internal.h"

enum {
	/* The first failure is not saved at once: one target may fail many
	 * items once. */
	kFailuresSavedMin = 2,
};

static struct itemjob_progress
item_progress(const struct item_run *ir)
{
	return (struct itemjob_progress){
	    .index = ir->index,
	    .last_event_id = ir->last_event_id,
	    .failures = ir->retry.failures,
	    .text = g_strdup(ir->text->str),
	};
}

void
jobs_progress_save_failures(const struct item_run *ir)
{
	GArray *list;
	struct itemjob_progress entry;

	if (ir->retry.failures < kFailuresSavedMin)
		return;
	list = itemjob_progress_new();
	entry = item_progress(ir);
	g_array_append_val(list, entry);
	jobs_save_progress(ir->run->js, ir->run->job->id, list);
}

GArray *
jobs_progress_halt(struct job_run *run)
{
	GArray *list = itemjob_progress_new();

	for (guint i = 0; i < run->items->len; i++) {
		struct item_run *ir = &run->runs[i];
		struct itemjob_progress entry;

		if (ir->relay != NULL)
			relay_cancel(ir->relay);
		ir->relay = NULL;
		if (ir->phase == kItemRunning)
			ir->phase = kItemWaiting;
		if (ir->phase != kItemWaiting ||
		    (ir->last_event_id < 0 && ir->retry.failures == 0))
			continue;
		entry = item_progress(ir);
		g_array_append_val(list, entry);
	}
	return list;
}

void
jobs_progress_restore(struct job_run *run, const GArray *progress)
{
	for (guint i = 0; i < progress->len; i++) {
		const struct itemjob_progress *entry =
		    &g_array_index(progress, struct itemjob_progress, i);
		struct item_run *ir;

		if (entry->index < 0 ||
		    entry->index >= (int32_t)run->items->len)
			continue;
		ir = &run->runs[entry->index];
		g_string_assign(ir->text, entry->text);
		ir->has_text = entry->last_event_id >= 0;
		ir->last_event_id = entry->last_event_id;
		ir->retry.failures = entry->failures;
	}
}

#ifndef SAVORYFLOW_HISTOGRAM_H
#define SAVORYFLOW_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/* Latency histograms: constant, name, help. */
#define SF_HISTOGRAMS(X)                                             \
	X(kHistFirstEvent, "savoryflow_first_event_seconds",         \
	    "Time from a request to the first event of its answer.") \
	X(kHistWholeAnswer, "savoryflow_whole_answer_seconds",       \
	    "Time from a request to the end of its answer.")         \
	X(kHistJobAccept, "savoryflow_job_accept_seconds",           \
	    "Time from a job's submission to its acknowledgement.")  \
	X(kHistItemDone, "savoryflow_item_done_seconds",             \
	    "Time from a job's submission to an item's result.")

enum histogram_id {
#define X(id, name, help) id,
	SF_HISTOGRAMS(X)
#undef X
	    kHistCount,
};

/** Records one duration, microseconds; thread-safe, lock-free. */
void histogram_record(enum histogram_id id, int64_t us);

/** Appends all histograms in the Prometheus text format. */
void histogram_print(GString *out);

#endif

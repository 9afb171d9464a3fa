#ifndef SAVORYFLOW_GATEWAY_EVENT_SPLITTER_H
#define SAVORYFLOW_GATEWAY_EVENT_SPLITTER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Why an event is not taken. */
enum event_fault {
	kEventSound,
	/** Its id is no higher than that of the last event. */
	kEventRepeated,
	/** Its id does not follow that of the last event. */
	kEventMissing,
	/** It has no id, though the events before it have; or the reverse. */
	kEventUnnumbered,
	/** It is not UTF-8 text. */
	kEventNotText,
};

/**
 * Splits a text/event-stream body into complete events. Ids increase by one,
 * from the event after which the first run resumes, through all runs of an
 * answer.
 */
struct event_splitter {
	GString *partial;
	/** Id of the last complete event; -1 before the first. */
	int64_t last_id;
	/** A complete event with content had no id. */
	bool has_unnumbered;
	/** Of the event that ended the run. */
	enum event_fault fault;
};

/** A complete event, borrowed: its raw bytes, with the empty line. */
struct stream_event {
	const char *text;
	size_t len;
	/** -1 if the event has none. */
	int64_t id;
	/** Has an id or data: is no mere comment. */
	bool has_content;
};

void event_splitter_init(struct event_splitter *es, int64_t last_id);
void event_splitter_clear(struct event_splitter *es);

/** Starts a new run: discards an incomplete event. */
void event_splitter_restart(struct event_splitter *es);

/** Called for each complete event, in order. @return false to stop */
typedef bool (*stream_event_fn)(void *ctx, const struct stream_event *ev);

/** @return false if fn stopped, or the next event has a fault */
bool event_splitter_feed(struct event_splitter *es, const char *data,
    size_t len, stream_event_fn fn, void *ctx);

/** Bytes of the buffer for the event that is not complete. */
size_t event_splitter_buffer_size(const struct event_splitter *es);

/** Bytes received of an event that is not complete. */
size_t event_splitter_partial_len(const struct event_splitter *es);

/** True if an incomplete event is buffered. */
bool event_splitter_has_partial(const struct event_splitter *es);

/** Name of a fault as written to the log. */
const char *event_fault_text(enum event_fault fault);

/** Appends the event's data, its lines joined by line feeds. */
void stream_event_data(const struct stream_event *ev, GString *out);

#endif

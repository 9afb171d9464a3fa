/* Numbered log events as JSON lines through log4c. */
#include "log/log.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <log4c.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <string.h>
#include <unistd.h>

#include "os/clock.h"
#include "os/json_text.h"

enum {
	/* Limit of the outbox; lines beyond it are dropped and counted. */
	kOutboxBytes = 256 * 1024,
	/* Limit per event; a daemon of the usual size serves tens of requests
	 * per second. */
	kLinesPerSecond = 200,
};

struct event_row {
	int id;
	int priority;
	const char *level;
	const char *name;
	const char *text;
};

static const struct event_row event_rows[] = {
#define X(id, number, level, name, text) \
	{number, LOG4C_PRIORITY_##level, #level, name, text},
    SF_EVENTS(X)
#undef X
};

static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
static log4c_category_t *log_category;
static char *log_daemon;

/*
 * Queue of lines for the writer thread, so that no caller of log_event blocks
 * on the reader of the log. Lines that do not fit are dropped and counted.
 */
struct log_outbox {
	pthread_mutex_t lock;
	pthread_cond_t wake;
	GString *lines;
	int64_t dropped;
	bool is_stopping;
	bool has_thread;
	pthread_t thread;
};

/* Number of lines of one event in the current second. */
struct event_rate {
	int64_t second;
	int32_t lines;
	int32_t suppressed;
};

static struct log_outbox outbox = {
    .lock = PTHREAD_MUTEX_INITIALIZER, .wake = PTHREAD_COND_INITIALIZER};
static struct event_rate event_rates[G_N_ELEMENTS(event_rows)];

static void
write_all(const char *data, size_t len)
{
	while (len > 0) {
		ssize_t n = write(STDOUT_FILENO, data, len);

		/* The reader of the log has closed it, or its disk is full. */
		if (n <= 0 && errno != EINTR)
			return;
		if (n > 0) {
			data += n;
			len -= (size_t)n;
		}
	}
}

static void *
writer_thread(void *arg)
{
	GString *batch = g_string_new(NULL);
	bool is_running = true;

	while (is_running) {
		GString *swap;

		pthread_mutex_lock(&outbox.lock);
		while (outbox.lines->len == 0 && !outbox.is_stopping)
			pthread_cond_wait(&outbox.wake, &outbox.lock);
		swap = outbox.lines;
		outbox.lines = batch;
		batch = swap;
		is_running = !outbox.is_stopping;
		pthread_mutex_unlock(&outbox.lock);
		write_all(batch->str, batch->len);
		g_string_truncate(batch, 0);
	}
	g_string_free(batch, TRUE);
	return NULL;
}

static void
outbox_open(void)
{
	outbox.lines = g_string_new(NULL);
	outbox.is_stopping = false;
	outbox.has_thread =
	    pthread_create(&outbox.thread, NULL, writer_thread, NULL) == 0;
}

static void
outbox_close(void)
{
	if (!outbox.has_thread)
		return;
	pthread_mutex_lock(&outbox.lock);
	outbox.is_stopping = true;
	pthread_cond_signal(&outbox.wake);
	pthread_mutex_unlock(&outbox.lock);
	pthread_join(outbox.thread, NULL);
	outbox.has_thread = false;
	write_all(outbox.lines->str, outbox.lines->len);
	g_string_free(outbox.lines, TRUE);
	outbox.lines = NULL;
}

static void
outbox_add(const char *line)
{
	size_t len = strlen(line);
	bool was_empty;

	pthread_mutex_lock(&outbox.lock);
	was_empty = outbox.lines->len == 0;
	if (outbox.lines->len + len <= kOutboxBytes) {
		if (outbox.dropped > 0)
			g_string_append_printf(outbox.lines,
			    "{\"name\":\"log_dropped\",\"lines\":%" PRId64
			    "}\n",
			    outbox.dropped);
		outbox.dropped = 0;
		g_string_append_len(outbox.lines, line, (gssize)len);
	} else {
		outbox.dropped++;
	}
	if (was_empty)
		pthread_cond_signal(&outbox.wake);
	pthread_mutex_unlock(&outbox.lock);
}

static const char *
layout_format(const log4c_layout_t *layout, const log4c_logging_event_t *ev)
{
	return ev->evt_msg;
}

static const log4c_layout_type_t json_layout = {
    "savoryflow_json", layout_format};

static int
appender_append(log4c_appender_t *self, const log4c_logging_event_t *ev)
{
	outbox_add(ev->evt_rendered_msg);
	return 0;
}

static const log4c_appender_type_t outbox_appender = {
    "savoryflow_stdout", NULL, appender_append, NULL};

void
log_open(const char *level, const char *daemon)
{
	log4c_appender_t *app;
	log4c_layout_t *layout;
	int priority;

	if (log4c_init() != 0)
		return;
	outbox_open();
	priority = log4c_priority_to_int(level);
	layout = log4c_layout_get("savoryflow_json");
	log4c_layout_set_type(layout, &json_layout);
	app = log4c_appender_get("savoryflow_stdout");
	log4c_appender_set_type(app, &outbox_appender);
	log4c_appender_set_layout(app, layout);
	log_category = log4c_category_get("savoryflow");
	log4c_category_set_appender(log_category, app);
	log4c_category_set_additivity(log_category, 0);
	log4c_category_set_priority(log_category, priority);
	log_daemon = g_strdup(daemon);
}

void
log_set_level(const char *level)
{
	pthread_mutex_lock(&log_lock);
	if (log_category != NULL)
		log4c_category_set_priority(
		    log_category, log4c_priority_to_int(level));
	pthread_mutex_unlock(&log_lock);
}

void
log_close(void)
{
	pthread_mutex_lock(&log_lock);
	if (log_category != NULL)
		log4c_fini();
	log_category = NULL;
	g_clear_pointer(&log_daemon, g_free);
	pthread_mutex_unlock(&log_lock);
	outbox_close();
}

static const struct event_row *
event_find(int id)
{
	for (size_t i = 0; i < G_N_ELEMENTS(event_rows); i++)
		if (event_rows[i].id == id)
			return &event_rows[i];
	return &event_rows[0];
}

static char *
event_line(const struct event_row *row, int32_t suppressed, va_list ap)
{
	json_t *line = json_object();
	const char *key;
	char *text;

	json_object_set_new(
	    line, "time_us", json_integer(clock_wall_us(clock_system())));
	json_object_set_new(line, "level", json_string(row->level));
	json_object_set_new(line, "event", json_integer(row->id));
	json_object_set_new(line, "name", json_string(row->name));
	json_object_set_new(line, "daemon", json_text(log_daemon));
	while ((key = va_arg(ap, const char *)) != NULL) {
		const char *val = va_arg(ap, const char *);

		json_object_set_new(line, key, json_text(val));
	}
	if (suppressed > 0)
		json_object_set_new(
		    line, "suppressed", json_integer(suppressed));
	text = json_dumps(line, JSON_COMPACT);
	json_decref(line);
	return text;
}

/*
 * Whether the rate limit allows another line of the event; *suppressed is then
 * the number of lines suppressed before it. Called with log_lock held.
 */
static bool
rate_allows(const struct event_row *row, int32_t *suppressed)
{
	struct event_rate *rate = &event_rates[row - event_rows];
	int64_t second = clock_mono_us(clock_system()) / kUsPerS;

	if (rate->second != second) {
		rate->second = second;
		rate->lines = 0;
	}
	if (rate->lines >= kLinesPerSecond) {
		rate->suppressed++;
		return false;
	}
	rate->lines++;
	*suppressed = rate->suppressed;
	rate->suppressed = 0;
	return true;
}

void
log_event(enum log_event_id id, ...)
{
	const struct event_row *row = event_find(id);
	int32_t suppressed = 0;
	va_list ap;

	pthread_mutex_lock(&log_lock);
	if (log_category != NULL &&
	    log4c_category_is_priority_enabled(log_category, row->priority) &&
	    rate_allows(row, &suppressed)) {
		char *text;

		va_start(ap, id);
		text = event_line(row, suppressed, ap);
		va_end(ap);
		log4c_category_log(log_category, row->priority, "%s\n", text);
		free(text);
	}
	pthread_mutex_unlock(&log_lock);
}

const char *
log_number(int64_t n)
{
	/* kNumbers must exceed the number of fields of any event. */
	enum { kNumbers = 16, kNumberText = 24 };
	static _Thread_local char texts[kNumbers][kNumberText];
	static _Thread_local unsigned int next;
	char *text = texts[next++ % kNumbers];

	g_snprintf(text, kNumberText, "%" G_GINT64_FORMAT, n);
	return text;
}

void
log_print_catalogue(FILE *out)
{
	fprintf(out,
	    "# Log events\n\n"
	    "Each line of the log is a JSON object with `time_us`, "
	    "`level`, `event`, `name`, `daemon` and the event's own "
	    "fields.\n\n| number | name | level | meaning |\n"
	    "|---|---|---|---|\n");
	for (size_t i = 0; i < G_N_ELEMENTS(event_rows); i++)
		fprintf(out, "| %d | %s | %s | %s |\n", event_rows[i].id,
		    event_rows[i].name, event_rows[i].level,
		    event_rows[i].text);
}

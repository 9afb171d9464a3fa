/* Numbered log events as JSON lines through log4c. */
#include "log/log.h"

#include <glib.h>
#include <jansson.h>
#include <log4c.h>
#include <pthread.h>
#include <stdarg.h>
#include <string.h>

#include "os/clock.h"

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
	return fputs(ev->evt_rendered_msg, stderr);
}

static const log4c_appender_type_t stderr_appender = {
    "savoryflow_stderr", NULL, appender_append, NULL};

void
log_open(const char *level, const char *daemon)
{
	log4c_appender_t *app;
	log4c_layout_t *layout;
	int priority;

	if (log4c_init() != 0)
		return;
	priority = log4c_priority_to_int(level);
	layout = log4c_layout_get("savoryflow_json");
	log4c_layout_set_type(layout, &json_layout);
	app = log4c_appender_get("savoryflow_stderr");
	log4c_appender_set_type(app, &stderr_appender);
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
event_line(const struct event_row *row, va_list ap)
{
	json_t *line = json_object();
	const char *key;
	char *text;

	json_object_set_new(
	    line, "time_us", json_integer(clock_wall_us(clock_system())));
	json_object_set_new(line, "level", json_string(row->level));
	json_object_set_new(line, "event", json_integer(row->id));
	json_object_set_new(line, "name", json_string(row->name));
	json_object_set_new(line, "daemon", json_string(log_daemon));
	while ((key = va_arg(ap, const char *)) != NULL) {
		const char *val = va_arg(ap, const char *);

		json_object_set_new(line, key, json_string(val ? val : ""));
	}
	text = json_dumps(line, JSON_COMPACT);
	json_decref(line);
	return text;
}

void
log_event(enum log_event_id id, ...)
{
	const struct event_row *row = event_find(id);
	va_list ap;

	pthread_mutex_lock(&log_lock);
	if (log_category != NULL &&
	    log4c_category_is_priority_enabled(log_category, row->priority)) {
		char *text;

		va_start(ap, id);
		text = event_line(row, ap);
		va_end(ap);
		log4c_category_log(log_category, row->priority, "%s\n", text);
		free(text);
	}
	pthread_mutex_unlock(&log_lock);
}

const char *
log_number(int64_t n)
{
	/* More than the fields of any one event. */
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

/* Splits a text/event-stream body into complete events. */
#include "gateway/event_splitter.h"

#include <stdlib.h>
#include <string.h>

#include "os/json_text.h"

/* Leaves room for the next one. */
static const int64_t kIdMax = INT64_MAX / 2;

void
event_splitter_init(struct event_splitter *es, int64_t last_id)
{
	es->partial = g_string_new(NULL);
	es->last_id = CLAMP(last_id, -1, kIdMax);
	es->has_unnumbered = false;
	es->fault = kEventSound;
}

void
event_splitter_clear(struct event_splitter *es)
{
	if (es->partial != NULL)
		g_string_free(es->partial, TRUE);
	es->partial = NULL;
}

void
event_splitter_restart(struct event_splitter *es)
{
	g_string_free(es->partial, TRUE);
	es->partial = g_string_new(NULL);
	es->fault = kEventSound;
}

/* Length of the event at the start of the text, with its empty line; 0 if it is
 * incomplete. Lines end with LF or CR LF. */
static size_t
event_len(const char *text, size_t len)
{
	size_t line = 0;

	for (size_t i = 0; i < len; i++) {
		size_t n;

		if (text[i] != '\n')
			continue;
		n = i - line;
		if (n == 0 || (n == 1 && text[line] == '\r'))
			return i + 1;
		line = i + 1;
	}
	return 0;
}

typedef void (*field_fn)(void *ctx, const char *value, size_t len);

/* Calls fn for the value of each line of the named field. */
static void
each_field(
    const char *text, size_t len, const char *name, field_fn fn, void *ctx)
{
	size_t name_len = strlen(name);
	const char *end = text + len;

	while (text < end) {
		const char *eol = memchr(text, '\n', (size_t)(end - text));
		size_t n = (size_t)((eol != NULL ? eol : end) - text);

		if (n > name_len && strncmp(text, name, name_len) == 0 &&
		    text[name_len] == ':') {
			const char *val = text + name_len + 1;
			size_t val_len = n - name_len - 1;

			if (val_len > 0 && val[0] == ' ') {
				val++;
				val_len--;
			}
			if (val_len > 0 && val[val_len - 1] == '\r')
				val_len--;
			fn(ctx, val, val_len);
		}
		text += n + 1;
	}
}

static void
parse_id(void *ctx, const char *value, size_t len)
{
	char *text = g_strndup(value, len);
	char *end;
	long long id = strtoll(text, &end, 10);

	if (end != text && *end == '\0' && id >= 0 && id <= kIdMax)
		*(int64_t *)ctx = id;
	g_free(text);
}

static void
note_field(void *ctx, const char *value, size_t len)
{
	*(bool *)ctx = true;
}

static enum event_fault
find_fault(const struct event_splitter *es, const struct stream_event *ev)
{
	if (!json_text_is_valid(ev->text, ev->len))
		return kEventNotText;
	if (!ev->has_content)
		return kEventSound;
	if (ev->id < 0)
		return es->last_id < 0 ? kEventSound : kEventUnnumbered;
	if (es->has_unnumbered)
		return kEventUnnumbered;
	if (es->last_id < 0 || ev->id == es->last_id + 1)
		return kEventSound;
	return ev->id <= es->last_id ? kEventRepeated : kEventMissing;
}

const char *
event_fault_text(enum event_fault fault)
{
	static const char *const texts[] = {
	    [kEventSound] = "sound",
	    [kEventRepeated] = "repeating",
	    [kEventMissing] = "event_missing",
	    [kEventUnnumbered] = "event_unnumbered",
	    [kEventNotText] = "not_text",
	};

	return texts[fault];
}

struct data_join {
	GString *out;
	bool has_line;
};

static void
append_data(void *ctx, const char *value, size_t len)
{
	struct data_join *join = ctx;

	if (join->has_line)
		g_string_append_c(join->out, '\n');
	join->has_line = true;
	g_string_append_len(join->out, value, (gssize)len);
}

void
stream_event_data(const struct stream_event *ev, GString *out)
{
	struct data_join join = {out, false};

	each_field(ev->text, ev->len, "data", append_data, &join);
}

bool
event_splitter_feed(struct event_splitter *es, const char *data, size_t len,
    stream_event_fn fn, void *ctx)
{
	size_t at = 0;
	size_t n;
	bool is_continued = true;

	g_string_append_len(es->partial, data, (gssize)len);
	while (is_continued &&
	    (n = event_len(es->partial->str + at, es->partial->len - at)) > 0) {
		struct stream_event ev = {es->partial->str + at, n, -1, false};

		each_field(ev.text, ev.len, "id", parse_id, &ev.id);
		each_field(
		    ev.text, ev.len, "data", note_field, &ev.has_content);
		ev.has_content = ev.has_content || ev.id >= 0;
		es->fault = find_fault(es, &ev);
		/* What is refused stays, as an incomplete event does. */
		if (es->fault != kEventSound) {
			is_continued = false;
			break;
		}
		es->last_id = MAX(es->last_id, ev.id);
		es->has_unnumbered |= ev.has_content && ev.id < 0;
		at += n;
		is_continued = fn(ctx, &ev);
	}
	g_string_erase(es->partial, 0, (gssize)at);
	return is_continued;
}

size_t
event_splitter_buffer_size(const struct event_splitter *es)
{
	return es->partial->allocated_len;
}

size_t
event_splitter_partial_len(const struct event_splitter *es)
{
	return es->partial->len;
}

bool
event_splitter_has_partial(const struct event_splitter *es)
{
	return es->partial->len > 0;
}

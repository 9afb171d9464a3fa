/* Documents of which some parts cannot be read. */
#include "os/json_partial.h"

#include <glib.h>
#include <stdbool.h>

#include "os/json_text.h"

struct span {
	const char *from;
	const char *end;
};

static struct span
trimmed(struct span s)
{
	while (s.from < s.end && g_ascii_isspace(s.from[0]))
		s.from++;
	while (s.from < s.end && g_ascii_isspace(s.end[-1]))
		s.end--;
	return s;
}

/* @return the first such byte outside of nested containers and strings, or the
 * end; NULL if the brackets or quotes do not match */
static const char *
find_at_level(struct span s, char c)
{
	struct json_scan sc = {0};

	for (; s.from < s.end; s.from++) {
		if (*s.from == c && sc.levels == 0 && !sc.is_in_string)
			return s.from;
		json_scan_byte(&sc, *s.from);
		if (sc.levels < 0)
			return NULL;
	}
	return sc.levels == 0 && !sc.is_in_string ? s.end : NULL;
}

static json_t *load_span(struct span s, int levels);

static json_t *
load_part(struct span s, int levels)
{
	json_t *part = load_span(s, levels);

	return part != NULL ? part : json_null();
}

static bool
add_element(json_t *list, struct span s, int levels)
{
	json_array_append_new(list, load_part(s, levels));
	return true;
}

/* @return false if it is no member */
static bool
add_member(json_t *object, struct span s, int levels)
{
	const char *colon = find_at_level(s, ':');
	json_t *name;

	if (colon == NULL || colon == s.end)
		return false;
	name = json_text_load_part(s.from, (size_t)(colon - s.from));
	if (json_is_string(name))
		json_object_set_new(object, json_string_value(name),
		    load_part((struct span){colon + 1, s.end}, levels));
	json_decref(name);
	return true;
}

/*
 * @param s what is between the brackets
 * @return false if brackets do not match, or a part is missing
 */
static bool
add_parts(json_t *container, struct span s, int levels)
{
	bool (*add)(json_t *, struct span, int) =
	    json_is_array(container) ? add_element : add_member;
	struct span part;
	const char *comma;

	s = trimmed(s);
	if (s.from == s.end)
		return true;
	do {
		comma = find_at_level(s, ',');
		if (comma == NULL)
			return false;
		part = trimmed((struct span){s.from, comma});
		if (part.from == part.end || !add(container, part, levels))
			return false;
		s.from = comma + 1;
	} while (comma < s.end);
	return true;
}

static json_t *
load_parts(struct span s, int levels)
{
	bool is_array =
	    s.end - s.from >= 2 && *s.from == '[' && s.end[-1] == ']';
	bool is_object =
	    s.end - s.from >= 2 && *s.from == '{' && s.end[-1] == '}';
	json_t *container;

	if (levels == 0 || (!is_array && !is_object))
		return NULL;
	container = is_array ? json_array() : json_object();
	if (add_parts(
		container, (struct span){s.from + 1, s.end - 1}, levels - 1))
		return container;
	json_decref(container);
	return NULL;
}

static json_t *
load_span(struct span s, int levels)
{
	json_t *doc;

	s = trimmed(s);
	doc = json_text_load_part(s.from, (size_t)(s.end - s.from));
	return doc != NULL ? doc : load_parts(s, levels);
}

json_t *
json_partial_load(const char *bytes, size_t len, int levels)
{
	return load_span((struct span){bytes, bytes + len}, levels);
}

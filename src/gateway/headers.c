/* Header fields of one HTTP message. */
#include "gateway/headers.h"

#include <string.h>

#include "http/head_line.h"

struct header_list {
	GArray *fields;
};

static void
header_clear(void *p)
{
	struct header *h = p;

	g_free(h->name);
	g_free(h->value);
}

struct header_list *
header_list_new(void)
{
	struct header_list *list = g_new(struct header_list, 1);

	list->fields = g_array_new(FALSE, FALSE, sizeof(struct header));
	g_array_set_clear_func(list->fields, header_clear);
	return list;
}

void
header_list_free(struct header_list *list)
{
	if (list == NULL)
		return;
	g_array_unref(list->fields);
	g_free(list);
}

void
header_list_add(struct header_list *list, const char *name, const char *value)
{
	struct header h = {g_strdup(name), g_strdup(value)};

	g_array_append_val(list->fields, h);
}

void
header_list_set(struct header_list *list, const char *name, const char *value)
{
	header_list_remove(list, name);
	header_list_add(list, name, value);
}

void
header_list_remove(struct header_list *list, const char *name)
{
	for (guint i = list->fields->len; i > 0; i--)
		if (g_ascii_strcasecmp(
			header_list_at(list, i - 1)->name, name) == 0)
			g_array_remove_index(list->fields, i - 1);
}

const char *
header_list_get(const struct header_list *list, const char *name)
{
	for (guint i = 0; i < list->fields->len; i++)
		if (g_ascii_strcasecmp(header_list_at(list, i)->name, name) ==
		    0)
			return header_list_at(list, i)->value;
	return NULL;
}

guint
header_list_len(const struct header_list *list)
{
	return list->fields->len;
}

const struct header *
header_list_at(const struct header_list *list, guint i)
{
	return &g_array_index(list->fields, struct header, i);
}

bool
header_value_is_valid(const char *value)
{
	for (; *value != '\0'; value++)
		if (g_ascii_iscntrl(*value) && *value != '\t')
			return false;
	return true;
}

bool
header_name_is_valid(const char *name)
{
	if (*name == '\0')
		return false;
	for (; *name != '\0'; name++)
		if (!head_line_is_token_char(*name))
			return false;
	return true;
}

bool
header_path_is_valid(const char *path)
{
	if (*path != '/')
		return false;
	for (; *path != '\0'; path++)
		if (g_ascii_iscntrl(*path) || *path == ' ')
			return false;
	return true;
}

bool
header_is_hop_by_hop(const char *name)
{
	static const char *const names[] = {"Connection", "Keep-Alive",
	    "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	    "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	    "Expect"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (g_ascii_strcasecmp(name, names[i]) == 0)
			return true;
	return false;
}

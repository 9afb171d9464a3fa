/* Value types of jobs whose results have stable positions. */
#include "savoryflow/job/itemjob.h"

#include <stdlib.h>
#include <string.h>

#include "os/json_text.h"

struct itemjob *
itemjob_new(const char *id)
{
	struct itemjob *job = g_new0(struct itemjob, 1);

	job->id = g_strdup(id);
	return job;
}

void
itemjob_free(struct itemjob *job)
{
	if (job == NULL)
		return;
	g_free(job->id);
	g_free(job->host);
	g_free(job->path);
	g_free(job->team);
	g_free(job->input);
	g_free(job->quota_route);
	g_free(job);
}

bool
itemjob_is_of_team(const struct itemjob *job, const char *team)
{
	return strcmp(job->team != NULL ? job->team : "",
		   team != NULL ? team : "") == 0;
}

static void
header_clear(void *p)
{
	struct itemjob_header *header = p;

	g_free(header->name);
	g_free(header->value);
}

struct itemjob_item *
itemjob_item_new(const char *id, const char *path)
{
	struct itemjob_item *item = g_new0(struct itemjob_item, 1);

	item->id = g_strdup(id);
	item->path = g_strdup(path);
	item->headers = g_array_new(FALSE, TRUE, sizeof(struct itemjob_header));
	g_array_set_clear_func(item->headers, header_clear);
	return item;
}

static void
item_free(void *p)
{
	struct itemjob_item *item = p;

	g_free(item->id);
	g_free(item->path);
	g_array_unref(item->headers);
	if (item->body != NULL)
		g_bytes_unref(item->body);
	g_free(item);
}

void
itemjob_item_add_header(
    struct itemjob_item *item, const char *name, const char *value)
{
	struct itemjob_header header = {g_strdup(name), g_strdup(value)};

	g_array_append_val(item->headers, header);
}

GPtrArray *
itemjob_items_new(void)
{
	return g_ptr_array_new_with_free_func(item_free);
}

static void
result_free(void *p)
{
	struct itemjob_result *result = p;

	g_free(result->item_id);
	g_free(result->text);
	g_free(result);
}

GPtrArray *
itemjob_results_new(void)
{
	return g_ptr_array_new_with_free_func(result_free);
}

void
itemjob_open_free(void *p)
{
	struct itemjob_open *open = p;

	if (open == NULL)
		return;
	g_free(open->id);
	g_free(open->owner);
	g_free(open->quota_route);
	g_free(open);
}

static void
progress_clear(void *p)
{
	g_free(((struct itemjob_progress *)p)->text);
}

GArray *
itemjob_progress_new(void)
{
	GArray *list =
	    g_array_new(FALSE, TRUE, sizeof(struct itemjob_progress));

	g_array_set_clear_func(list, progress_clear);
	return list;
}

static json_t *
item_to_json(const struct itemjob_item *item)
{
	gsize len;
	const void *data = g_bytes_get_data(item->body, &len);
	char *body = g_base64_encode(data, len);
	json_t *headers = json_array();
	json_t *doc;

	for (guint i = 0; i < item->headers->len; i++) {
		const struct itemjob_header *h =
		    &g_array_index(item->headers, struct itemjob_header, i);

		json_array_append_new(headers,
		    json_pack(
			"[o,o]", json_text(h->name), json_text(h->value)));
	}
	doc = json_pack("{s:o,s:o,s:o,s:s,s:I}", "id", json_text(item->id),
	    "path", json_text(item->path), "headers", headers, "body", body,
	    "tokens", (json_int_t)item->tokens);
	g_free(body);
	return doc;
}

/* @return NULL if a field is missing */
static struct itemjob_item *
item_from_json(const json_t *doc)
{
	const char *id = json_string_value(json_object_get(doc, "id"));
	const char *path = json_string_value(json_object_get(doc, "path"));
	const char *body = json_string_value(json_object_get(doc, "body"));
	json_t *headers = json_object_get(doc, "headers");
	struct itemjob_item *item;
	json_t *elem;
	gsize len = 0;
	guchar *data;
	size_t i;

	if (id == NULL || path == NULL || body == NULL)
		return NULL;
	item = itemjob_item_new(id, path);
	data = g_base64_decode(body, &len);
	item->body = g_bytes_new_take(data, len);
	item->tokens = json_integer_value(json_object_get(doc, "tokens"));
	json_array_foreach(headers, i, elem)
	{
		const char *name = json_string_value(json_array_get(elem, 0));
		const char *value = json_string_value(json_array_get(elem, 1));

		if (name != NULL && value != NULL)
			itemjob_item_add_header(item, name, value);
	}
	return item;
}

char *
itemjob_items_to_text(const GPtrArray *items)
{
	json_t *list = json_array();
	char *text;

	for (guint i = 0; i < items->len; i++)
		json_array_append_new(list, item_to_json(items->pdata[i]));
	text = json_dumps(list, JSON_COMPACT);
	json_decref(list);
	return text;
}

char *
itemjob_ids_to_text(const GPtrArray *items)
{
	json_t *ids = json_array();
	json_t *doc = json_pack("{s:o}", "ids", ids);
	char *text;

	for (guint i = 0; i < items->len; i++)
		json_array_append_new(ids,
		    json_text(
			((const struct itemjob_item *)items->pdata[i])->id));
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}

GPtrArray *
itemjob_items_from_ids(const char *text)
{
	json_t *doc = json_text_load(text);
	GPtrArray *items = itemjob_items_new();
	json_t *id;
	size_t i;

	json_array_foreach(json_object_get(doc, "ids"), i, id)
	{
		if (json_is_string(id))
			g_ptr_array_add(
			    items, itemjob_item_new(json_string_value(id), ""));
	}
	json_decref(doc);
	return items;
}

GPtrArray *
itemjob_items_from_text(const char *text, size_t len)
{
	json_t *list = json_text_load_bytes(text, len);
	GPtrArray *items = itemjob_items_new();
	json_t *elem;
	size_t i;

	json_array_foreach(list, i, elem)
	{
		struct itemjob_item *item = item_from_json(elem);

		if (item != NULL)
			g_ptr_array_add(items, item);
	}
	if (!json_is_array(list) || items->len != json_array_size(list)) {
		g_ptr_array_unref(items);
		items = NULL;
	}
	json_decref(list);
	return items;
}

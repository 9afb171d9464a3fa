/* Keys and values of the rows of jobs. */
#include "savoryflow/job/itemjob_rows.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "os/json_text.h"

static const char kListPartition[] = "jobs";

char *
itemjob_key(const char *table, const char *id, const char *name)
{
	return g_strdup_printf("%s/%s/%s", table, id, name);
}

char *
itemjob_list_key(const char *table, const char *id)
{
	return itemjob_key(table, kListPartition, id);
}

char *
itemjob_key_number(const char *table, const char *id, int32_t number)
{
	return g_strdup_printf("%s/%s/%06d", table, id, number);
}

/* Rows of other writers may have names that begin with a number. */
int32_t
itemjob_number_of_key(const char *key)
{
	const char *slash = strrchr(key, '/');
	int64_t number =
	    slash != NULL ? g_ascii_strtoll(slash + 1, NULL, 10) : -1;
	char name[32];

	if (number < 0 || number > INT32_MAX)
		return -1;
	g_snprintf(name, sizeof(name), "%06" G_GINT64_FORMAT, number);
	return strcmp(slash + 1, name) == 0 ? (int32_t)number : -1;
}

void
itemjob_report_foreign(const struct store_row *row)
{
	store_report_row("jobs", row->key, "the name is none of a job's rows");
}

char *
itemjob_open_text(const struct itemjob_open *open)
{
	json_t *doc = json_pack("{s:o,s:b}", "owner", json_text(open->owner),
	    "ended", (int)open->is_ended);
	char *text;

	if (open->quota_route != NULL) {
		json_object_set_new(doc, "quota", json_text(open->quota_route));
		json_object_set_new(
		    doc, "tokens", json_integer(open->quota_tokens));
	}
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}

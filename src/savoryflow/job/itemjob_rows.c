/* Keys and values of the rows of jobs. */
#include "savoryflow/job/itemjob_rows.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

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

int32_t
itemjob_number_of_key(const char *key)
{
	const char *slash = strrchr(key, '/');

	return slash != NULL ? (int32_t)strtol(slash + 1, NULL, 10) : -1;
}

char *
itemjob_open_text(const char *owner, bool is_ended)
{
	json_t *doc =
	    json_pack("{s:s,s:b}", "owner", owner, "ended", (int)is_ended);
	char *text = json_dumps(doc, JSON_COMPACT);

	json_decref(doc);
	return text;
}

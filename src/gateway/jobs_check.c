/* What submissions of jobs name: ids, and requests that can be sent. */
#include <string.h>

#include "error/error.h"
#include "gateway/jobs_internal.h"
#include "gateway/jobs_task.h"
#include "log/log.h"
#include "savoryflow/job/job_name.h"

/* Bytes of a header field beside its name and value: ": " and CRLF. */
static const size_t kFieldExtraBytes = 4;

/* Path, id and fields of the request that an item becomes; the fields that this
 * product adds itself are not counted. */
static size_t
item_head_bytes(const struct itemjob_item *item)
{
	size_t bytes = strlen(item->path) + strlen(item->id);

	for (guint i = 0; i < item->headers->len; i++) {
		const struct itemjob_header *h =
		    &g_array_index(item->headers, struct itemjob_header, i);

		bytes += strlen(h->name) + strlen(h->value) + kFieldExtraBytes;
	}
	return bytes;
}

/* Targets need not take a longer head from here than clients may send. */
static bool
check_items(const struct jobs *js, const GPtrArray *items, GError **err)
{
	const struct routebook *book = js->opt.routes(js->opt.ctx);
	int64_t bytes_max = book->limits.header_bytes;

	for (guint i = 0; i < items->len; i++) {
		const struct itemjob_item *item = items->pdata[i];
		size_t bytes = item_head_bytes(item);

		if (strlen(item->id) > kIdBytesMax) {
			g_set_error(err, SF_ERROR, kErrBadRequest,
			    "item %u: the id has %zu bytes; at most %d are "
			    "served",
			    i, strlen(item->id), kIdBytesMax);
			return false;
		}
		if ((int64_t)bytes > bytes_max) {
			g_set_error(err, SF_ERROR, kErrBadRequest,
			    "item %u: id, path and header fields have %zu "
			    "bytes; the limit of a request's head is "
			    "%" G_GINT64_FORMAT,
			    i, bytes, bytes_max);
			return false;
		}
	}
	return true;
}

bool
jobs_check_submission(
    const struct jobs *js, const char *id, const GPtrArray *items, GError **err)
{
	if (!job_id_is_valid(id)) {
		g_set_error(err, SF_ERROR, kErrBadRequest,
		    "the id of a job is missing, or is not UTF-8 text without "
		    "slashes and control characters");
		return false;
	}
	return check_items(js, items, err);
}

char *
jobs_name_of(const char *id)
{
	char *name = job_name_of_id(id);

	if (strcmp(name, id) != 0)
		log_event(kEvtJobNamed, "job", name, "request", id, NULL);
	return name;
}

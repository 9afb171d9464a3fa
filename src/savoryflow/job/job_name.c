/* Names of jobs. */
#include "savoryflow/job/job_name.h"

#include <glib.h>
#include <string.h>

static const char kDigestPrefix[] = "sha256:";

char *
job_name_of_id(const char *id)
{
	char *digest;
	char *name;

	if (strlen(id) <= kJobNameIdBytesMax &&
	    !g_str_has_prefix(id, kDigestPrefix))
		return g_strdup(id);
	digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, id, -1);
	name = g_strconcat(kDigestPrefix, digest, NULL);
	g_free(digest);
	return name;
}

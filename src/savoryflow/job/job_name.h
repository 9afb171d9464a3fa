#ifndef SAVORYFLOW_JOB_NAME_H
#define SAVORYFLOW_JOB_NAME_H

enum {
	/** Longest id that is a job's name as it is, in bytes: a key of the
	 * store has a limited length. */
	kJobNameIdBytesMax = 126,
};

/**
 * Name under which a job is known to daemons, logs and the store: its id, or
 * "sha256:" and the digest of an id that is too long for a key. An id that
 * begins so itself gets a digest, too, so that no two ids share a name.
 * @return a new text; free with g_free
 */
char *job_name_of_id(const char *id);

#endif

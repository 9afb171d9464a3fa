/* What has been logged already. */
#include "log/log_once.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <xxhash.h>

enum { kSubjectsMax = 4096 };

static pthread_mutex_t once_lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t once_subjects[kSubjectsMax];
static uint32_t once_next;

static bool
is_known(uint64_t hash)
{
	for (int i = 0; i < kSubjectsMax; i++)
		if (once_subjects[i] == hash)
			return true;
	return false;
}

bool
log_once(const char *subject)
{
	uint64_t hash = XXH3_64bits(subject, strlen(subject));
	bool is_first;

	pthread_mutex_lock(&once_lock);
	is_first = !is_known(hash);
	if (is_first)
		once_subjects[once_next++ % kSubjectsMax] = hash;
	pthread_mutex_unlock(&once_lock);
	return is_first;
}

/* Waits before steps that are likely to fail again. */
#include "savoryflow/retry/retry_table.h"

enum { kDoublingsMax = 20 };

struct failure {
	int32_t count;
	int64_t due_us;
};

struct retry_table {
	/** struct failure by name. */
	GHashTable *failures;
	int64_t first_us;
	int64_t max_us;
};

struct retry_table *
retry_table_new(int64_t first_us, int64_t max_us)
{
	struct retry_table *rt = g_new0(struct retry_table, 1);

	rt->failures =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rt->first_us = first_us;
	rt->max_us = max_us;
	return rt;
}

void
retry_table_free(struct retry_table *rt)
{
	g_hash_table_unref(rt->failures);
	g_free(rt);
}

bool
retry_table_is_due(
    const struct retry_table *rt, const char *name, int64_t now_us)
{
	const struct failure *failure = g_hash_table_lookup(rt->failures, name);

	return failure == NULL || now_us >= failure->due_us;
}

int64_t
retry_table_fail(struct retry_table *rt, const char *name, bool waits,
    int64_t now_us, int32_t *count)
{
	struct failure *failure = g_hash_table_lookup(rt->failures, name);
	int64_t wait_us = 0;

	if (failure == NULL) {
		failure = g_new0(struct failure, 1);
		g_hash_table_insert(rt->failures, g_strdup(name), failure);
	}
	if (waits)
		wait_us =
		    MIN(rt->first_us << MIN(failure->count, kDoublingsMax),
			rt->max_us);
	*count = ++failure->count;
	failure->due_us = now_us + wait_us;
	return wait_us;
}

void
retry_table_remove(struct retry_table *rt, const char *name)
{
	g_hash_table_remove(rt->failures, name);
}

void
retry_table_keep(struct retry_table *rt, GHashTable *names)
{
	GHashTableIter it;
	void *name;

	g_hash_table_iter_init(&it, rt->failures);
	while (g_hash_table_iter_next(&it, &name, NULL))
		if (!g_hash_table_contains(names, name))
			g_hash_table_iter_remove(&it);
}

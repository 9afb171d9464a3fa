/* A ring of the latest runs whose answers have begun. */
#include "savoryflow/retry/begun_runs.h"

enum { kRunsMax = 256 };

struct begun_run {
	struct blame_keys keys;
	int64_t run_us;
	int64_t begun_us;
};

struct begun_runs {
	/** The newest one is before next. */
	struct begun_run all[kRunsMax];
	int32_t count;
	int32_t next;
};

struct begun_runs *
begun_runs_new(void)
{
	return g_new0(struct begun_runs, 1);
}

void
begun_runs_free(struct begun_runs *br)
{
	g_free(br);
}

void
begun_runs_record(struct begun_runs *br, const struct blame_keys *keys,
    int64_t run_us, int64_t now_us)
{
	br->all[br->next] = (struct begun_run){*keys, run_us, now_us};
	br->next = (br->next + 1) % kRunsMax;
	br->count = MIN(br->count + 1, kRunsMax);
}

int64_t
begun_runs_without(const struct begun_runs *br, uint64_t key, int64_t since_us)
{
	int64_t sum_us = 0;

	for (int32_t i = 1; i <= br->count; i++) {
		const struct begun_run *run =
		    &br->all[(br->next + kRunsMax - i) % kRunsMax];

		if (run->begun_us <= since_us)
			break;
		if (!blame_keys_have(&run->keys, key))
			sum_us += run->run_us;
	}
	return sum_us;
}

bool
blame_keys_have(const struct blame_keys *keys, uint64_t key)
{
	for (int32_t i = 0; i < keys->count; i++)
		if (keys->keys[i] == key)
			return true;
	return false;
}

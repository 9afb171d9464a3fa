/* Estimate of the shared prompt parts that a target keeps. */
#include "savoryflow/slotpool/kept_parts.h"

#include "savoryflow/arbiter/u64_hash.h"

enum {
	/* Memory of a target, as the requirements state it. */
	kMemoryTokens = 147261,
	/* Prompt and answer of a running request, apart from shared parts. */
	kRunTokens = 500,
	/* Bounds the arbiter's own memory if parts are short. */
	kPartsMax = 1024,
};

struct kept_part {
	uint64_t key;
	int32_t tokens;
	/** Place in kept_parts.by_use; its data is this part. */
	GList link;
};

struct kept_parts {
	/** struct kept_part by key. */
	GHashTable *parts;
	/** Most recently used first. */
	GQueue by_use;
	int64_t tokens;
};

struct kept_parts *
kept_parts_new(void)
{
	struct kept_parts *kp = g_new0(struct kept_parts, 1);

	kp->parts = u64_hash_new(g_free);
	g_queue_init(&kp->by_use);
	return kp;
}

void
kept_parts_clear(struct kept_parts *kp)
{
	g_hash_table_remove_all(kp->parts);
	g_queue_init(&kp->by_use);
	kp->tokens = 0;
}

void
kept_parts_free(struct kept_parts *kp)
{
	g_hash_table_unref(kp->parts);
	g_free(kp);
}

int32_t
kept_parts_find(const struct kept_parts *kp, const struct slot_parts *parts)
{
	int32_t tokens = 0;

	for (int32_t i = 0; i < parts->count; i++) {
		if (!g_hash_table_contains(kp->parts, &parts->keys[i]))
			break;
		tokens += parts->tokens[i];
	}
	return tokens;
}

static void
touch(struct kept_parts *kp, uint64_t key, int32_t tokens)
{
	struct kept_part *part = g_hash_table_lookup(kp->parts, &key);

	if (part != NULL) {
		g_queue_unlink(&kp->by_use, &part->link);
	} else {
		part = g_new0(struct kept_part, 1);
		part->key = key;
		part->link.data = part;
		g_hash_table_insert(kp->parts, &part->key, part);
	}
	kp->tokens += tokens - part->tokens;
	part->tokens = tokens;
	g_queue_push_head_link(&kp->by_use, &part->link);
}

static void
evict(struct kept_parts *kp, int64_t room)
{
	while (kp->by_use.tail != NULL &&
	    (kp->tokens > room || kp->by_use.length > kPartsMax)) {
		struct kept_part *part = kp->by_use.tail->data;

		kp->tokens -= part->tokens;
		g_queue_unlink(&kp->by_use, &part->link);
		g_hash_table_remove(kp->parts, &part->key);
	}
}

void
kept_parts_record(
    struct kept_parts *kp, const struct slot_parts *parts, int32_t runs)
{
	/* The first part is used last: without it the others are useless. */
	for (int32_t i = parts->count; i-- > 0;)
		touch(kp, parts->keys[i], parts->tokens[i]);
	evict(kp, kMemoryTokens - (int64_t)kRunTokens * runs);
}

/* In-memory stand-in for the platform's services, with fault injection. */
#include "standin/memstore.h"

#include <jansson.h>
#include <pthread.h>
#include <string.h>

#include "os/clock.h"

struct stored_row {
	char *value;
	int64_t version;
};

struct vm_change {
	char *address;
	enum store_vm_state state;
	int64_t seq;
};

struct memstore {
	struct store base;
	pthread_mutex_t lock;
	GTree *rows;
	GHashTable *objects;
	GPtrArray *vms;
	int64_t version;
	struct memstore_faults faults;
	struct memstore_counts counts;
};

static void
stored_row_free(void *p)
{
	struct stored_row *row = p;

	g_free(row->value);
	g_free(row);
}

static int
key_compare(const void *a, const void *b, void *ctx)
{
	return strcmp(a, b);
}

/* @return true, and counts down, if a fault is due */
static bool
consume_fault(int32_t *remaining)
{
	if (*remaining <= 0)
		return false;
	(*remaining)--;
	return true;
}

/* @return true with the lock held, false during an outage */
static bool
lock_for_read(struct memstore *ms)
{
	pthread_mutex_lock(&ms->lock);
	ms->counts.reads++;
	if (!ms->faults.outage && !consume_fault(&ms->faults.fail_reads)) {
		ms->faults.hides_time = false;
		return true;
	}
	pthread_mutex_unlock(&ms->lock);
	return false;
}

static enum store_result
ms_get(
    void *ctx, enum store_cause cause, const char *key, struct store_row *row)
{
	struct memstore *ms = ctx;
	struct stored_row *stored;

	if (!lock_for_read(ms))
		return kStoreUnavailable;
	stored = g_tree_lookup(ms->rows, key);
	if (stored != NULL) {
		row->key = g_strdup(key);
		row->value = g_strdup(stored->value);
		row->version = stored->version;
	}
	pthread_mutex_unlock(&ms->lock);
	return stored != NULL ? kStoreOk : kStoreNotFound;
}

static enum store_result
ms_scan(void *ctx, enum store_cause cause, const char *prefix,
    const char *after, int32_t limit, GPtrArray **rows, bool *has_more)
{
	struct memstore *ms = ctx;
	const char *from =
	    after != NULL && strcmp(after, prefix) > 0 ? after : prefix;
	GTreeNode *node;

	if (!lock_for_read(ms))
		return kStoreUnavailable;
	*rows = store_rows_new();
	*has_more = false;
	if (ms->faults.page_rows > 0)
		limit = MIN(limit, ms->faults.page_rows);
	node = g_tree_lower_bound(ms->rows, from);
	for (; node != NULL; node = g_tree_node_next(node)) {
		const char *key = g_tree_node_key(node);
		const struct stored_row *stored = g_tree_node_value(node);
		struct store_row *row;

		if (!g_str_has_prefix(key, prefix))
			break;
		if (after != NULL && strcmp(key, after) <= 0)
			continue;
		*has_more = (int32_t)(*rows)->len >= limit;
		if (*has_more)
			break;
		row = g_new0(struct store_row, 1);
		row->key = g_strdup(key);
		row->value = g_strdup(stored->value);
		row->version = stored->version;
		g_ptr_array_add(*rows, row);
	}
	pthread_mutex_unlock(&ms->lock);
	return kStoreOk;
}

static bool
field_equals(const char *value, const char *field, const char *text)
{
	json_t *doc = json_loads(value, 0, NULL);
	const char *actual = json_string_value(json_object_get(doc, field));
	bool is_equal = g_strcmp0(actual, text) == 0;

	json_decref(doc);
	return is_equal;
}

static bool
cond_holds(struct memstore *ms, const struct store_cond *cond)
{
	const struct stored_row *row = g_tree_lookup(ms->rows, cond->key);

	switch (cond->kind) {
	case kCondAbsent:
		return row == NULL;
	case kCondVersion:
		return row != NULL && row->version == cond->version;
	case kCondField:
		return row != NULL &&
		    field_equals(row->value, cond->field, cond->text);
	}
	return false;
}

static void
apply_write(struct memstore *ms, const struct store_write *w)
{
	struct stored_row *row;

	if (w->value == NULL) {
		g_tree_remove(ms->rows, w->key);
		return;
	}
	row = g_new0(struct stored_row, 1);
	row->value = g_strdup(w->value);
	row->version = ++ms->version;
	g_tree_replace(ms->rows, g_strdup(w->key), row);
	/* The tree owns the row. */
	// cppcheck-suppress memleak
}

static enum store_result
ms_txn(void *ctx, enum store_cause cause, const struct store_txn *txn)
{
	struct memstore *ms = ctx;
	enum store_result res = kStoreOk;

	pthread_mutex_lock(&ms->lock);
	ms->counts.writes++;
	if (ms->faults.outage)
		res = kStoreUnavailable;
	else if (consume_fault(&ms->faults.lose_requests))
		res = kStoreAmbiguous;
	for (guint i = 0; res == kStoreOk && i < txn->conds->len; i++)
		if (!cond_holds(ms, txn->conds->pdata[i]))
			res = kStoreConflict;
	if (res == kStoreOk) {
		for (guint i = 0; i < txn->writes->len; i++)
			apply_write(ms, txn->writes->pdata[i]);
		if (consume_fault(&ms->faults.lose_answers))
			res = kStoreAmbiguous;
	}
	pthread_mutex_unlock(&ms->lock);
	return res;
}

static enum store_result
ms_put_object(void *ctx, enum store_cause cause, const char *key,
    const char *data, size_t len)
{
	struct memstore *ms = ctx;
	enum store_result res = kStoreOk;

	pthread_mutex_lock(&ms->lock);
	ms->counts.writes++;
	if (ms->faults.outage)
		res = kStoreUnavailable;
	else
		g_hash_table_replace(
		    ms->objects, g_strdup(key), g_bytes_new(data, len));
	pthread_mutex_unlock(&ms->lock);
	return res;
}

static enum store_result
ms_get_object(void *ctx, enum store_cause cause, const char *key, GBytes **data)
{
	struct memstore *ms = ctx;
	GBytes *found;

	if (!lock_for_read(ms))
		return kStoreUnavailable;
	found = g_hash_table_lookup(ms->objects, key);
	if (found != NULL)
		*data = g_bytes_ref(found);
	pthread_mutex_unlock(&ms->lock);
	return found != NULL ? kStoreOk : kStoreNotFound;
}

static enum store_result
ms_delete_object(void *ctx, enum store_cause cause, const char *key)
{
	struct memstore *ms = ctx;
	enum store_result res = kStoreOk;

	pthread_mutex_lock(&ms->lock);
	ms->counts.writes++;
	if (ms->faults.outage)
		res = kStoreUnavailable;
	else
		g_hash_table_remove(ms->objects, key);
	pthread_mutex_unlock(&ms->lock);
	return res;
}

static bool
ms_now_ms(void *ctx, int64_t *now_ms)
{
	struct memstore *ms = ctx;
	bool is_hidden;

	pthread_mutex_lock(&ms->lock);
	is_hidden = ms->faults.hides_time;
	pthread_mutex_unlock(&ms->lock);
	if (!is_hidden)
		*now_ms = clock_mono_us(clock_system()) / kUsPerMs;
	return !is_hidden;
}

static enum store_result
ms_vms(void *ctx, int64_t *cursor, GPtrArray **vms)
{
	struct memstore *ms = ctx;

	if (!lock_for_read(ms))
		return kStoreUnavailable;
	*vms = store_vms_new();
	for (guint i = 0; i < ms->vms->len; i++) {
		const struct vm_change *change = ms->vms->pdata[i];
		struct store_vm *vm;

		if (change->seq <= *cursor)
			continue;
		vm = g_new0(struct store_vm, 1);
		vm->address = g_strdup(change->address);
		vm->state = change->state;
		g_ptr_array_add(*vms, vm);
	}
	*cursor = ms->version;
	pthread_mutex_unlock(&ms->lock);
	return kStoreOk;
}

static const struct store_ops memstore_ops = {
    .get = ms_get,
    .scan = ms_scan,
    .txn = ms_txn,
    .put_object = ms_put_object,
    .get_object = ms_get_object,
    .delete_object = ms_delete_object,
    .now_ms = ms_now_ms,
    .vms = ms_vms,
};

static void
vm_change_free(void *p)
{
	struct vm_change *change = p;

	g_free(change->address);
	g_free(change);
}

struct memstore *
memstore_new(void)
{
	struct memstore *ms = g_new0(struct memstore, 1);

	ms->base.ops = &memstore_ops;
	ms->base.ctx = ms;
	pthread_mutex_init(&ms->lock, NULL);
	ms->rows = g_tree_new_full(key_compare, NULL, g_free, stored_row_free);
	ms->objects = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	ms->vms = g_ptr_array_new_with_free_func(vm_change_free);
	return ms;
}

void
memstore_free(struct memstore *ms)
{
	g_tree_unref(ms->rows);
	g_hash_table_unref(ms->objects);
	g_ptr_array_unref(ms->vms);
	pthread_mutex_destroy(&ms->lock);
	g_free(ms);
}

struct store *
memstore_store(struct memstore *ms)
{
	return &ms->base;
}

void
memstore_set_faults(struct memstore *ms, const struct memstore_faults *f)
{
	pthread_mutex_lock(&ms->lock);
	ms->faults = *f;
	pthread_mutex_unlock(&ms->lock);
}

struct memstore_counts
memstore_get_counts(struct memstore *ms)
{
	struct memstore_counts counts;

	pthread_mutex_lock(&ms->lock);
	counts = ms->counts;
	pthread_mutex_unlock(&ms->lock);
	return counts;
}

void
memstore_set_vm_state(
    struct memstore *ms, const char *address, enum store_vm_state state)
{
	struct vm_change *change = g_new0(struct vm_change, 1);

	pthread_mutex_lock(&ms->lock);
	change->address = g_strdup(address);
	change->state = state;
	change->seq = ++ms->version;
	g_ptr_array_add(ms->vms, change);
	pthread_mutex_unlock(&ms->lock);
}

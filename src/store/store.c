/* Allocation of the store interface's values, and counters of its calls. */
#include "store/store.h"

#include "log/log.h"
#include "log/log_once.h"
#include "metric/metric.h"

void
store_report_row(const char *table, const char *key, const char *why)
{
	char *subject = g_strconcat(table, "/", key, NULL);

	if (log_once(subject))
		log_event(kEvtRowUnreadable, "table", table, "key", key,
		    "error", why, (char *)NULL);
	g_free(subject);
}

void
store_row_clear(struct store_row *row)
{
	g_clear_pointer(&row->key, g_free);
	g_clear_pointer(&row->value, g_free);
}

static void
row_free(void *p)
{
	store_row_clear(p);
	g_free(p);
}

GPtrArray *
store_rows_new(void)
{
	return g_ptr_array_new_with_free_func(row_free);
}

static void
vm_free(void *p)
{
	struct store_vm *vm = p;

	g_free(vm->address);
	g_free(vm);
}

GPtrArray *
store_vms_new(void)
{
	return g_ptr_array_new_with_free_func(vm_free);
}

static void
cond_free(void *p)
{
	struct store_cond *cond = p;

	g_free(cond->key);
	g_free(cond->field);
	g_free(cond->text);
	g_free(cond);
}

static void
write_free(void *p)
{
	struct store_write *w = p;

	g_free(w->key);
	g_free(w->value);
	g_free(w);
}

struct store_txn *
store_txn_new(void)
{
	struct store_txn *txn = g_new0(struct store_txn, 1);

	txn->conds = g_ptr_array_new_with_free_func(cond_free);
	txn->writes = g_ptr_array_new_with_free_func(write_free);
	return txn;
}

void
store_txn_free(struct store_txn *txn)
{
	if (txn == NULL)
		return;
	g_ptr_array_unref(txn->conds);
	g_ptr_array_unref(txn->writes);
	g_free(txn);
}

static struct store_cond *
cond_add(struct store_txn *txn, enum store_cond_kind kind, const char *key)
{
	struct store_cond *cond = g_new0(struct store_cond, 1);

	cond->kind = kind;
	cond->key = g_strdup(key);
	g_ptr_array_add(txn->conds, cond);
	return cond;
}

void
store_txn_absent(struct store_txn *txn, const char *key)
{
	cond_add(txn, kCondAbsent, key);
}

void
store_txn_version(struct store_txn *txn, const char *key, int64_t version)
{
	cond_add(txn, kCondVersion, key)->version = version;
}

void
store_txn_field(
    struct store_txn *txn, const char *key, const char *field, const char *text)
{
	struct store_cond *cond = cond_add(txn, kCondField, key);

	cond->field = g_strdup(field);
	cond->text = g_strdup(text);
}

void
store_txn_write(struct store_txn *txn, const char *key, const char *value)
{
	struct store_write *w = g_new0(struct store_write, 1);

	w->key = g_strdup(key);
	w->value = g_strdup(value);
	g_ptr_array_add(txn->writes, w);
}

void
store_count_call(enum store_cause cause, bool is_write)
{
	static const enum metric_id reads[] = {
	    [kCauseConfig] = kMetReadsConfig,
	    [kCauseBatch] = kMetReadsBatch,
	    [kCauseSession] = kMetReadsSession,
	    [kCauseIntent] = kMetReadsIntent,
	    [kCauseVms] = kMetReadsVms,
	};
	static const enum metric_id writes[] = {
	    [kCauseConfig] = kMetWritesConfig,
	    [kCauseBatch] = kMetWritesBatch,
	    [kCauseSession] = kMetWritesSession,
	    [kCauseIntent] = kMetWritesIntent,
	    [kCauseVms] = kMetReadsVms,
	};

	metric_add(is_write ? writes[cause] : reads[cause], 1);
}

const char *
store_result_text(enum store_result res)
{
	static const char *const texts[] = {"ok", "not_found", "conflict",
	    "unavailable", "ambiguous", "unreadable"};

	return texts[res];
}

/* Values passed to and from the platform's services. */
#include "platform/platform.h"

void
platform_row_clear(struct platform_row *row)
{
	g_clear_pointer(&row->key, g_free);
	g_clear_pointer(&row->value, g_free);
}

static void
row_free(void *p)
{
	platform_row_clear(p);
	g_free(p);
}

GPtrArray *
platform_rows_new(void)
{
	return g_ptr_array_new_with_free_func(row_free);
}

static void
vm_free(void *p)
{
	struct platform_vm *vm = p;

	g_free(vm->address);
	g_free(vm);
}

GPtrArray *
platform_vms_new(void)
{
	return g_ptr_array_new_with_free_func(vm_free);
}

static void
cond_free(void *p)
{
	struct platform_cond *cond = p;

	g_free(cond->key);
	g_free(cond->field);
	g_free(cond->text);
	g_free(cond);
}

static void
write_free(void *p)
{
	struct platform_write *w = p;

	g_free(w->key);
	g_free(w->value);
	g_free(w);
}

struct platform_txn *
platform_txn_new(void)
{
	struct platform_txn *txn = g_new0(struct platform_txn, 1);

	txn->conds = g_ptr_array_new_with_free_func(cond_free);
	txn->writes = g_ptr_array_new_with_free_func(write_free);
	return txn;
}

void
platform_txn_free(struct platform_txn *txn)
{
	if (txn == NULL)
		return;
	g_ptr_array_unref(txn->conds);
	g_ptr_array_unref(txn->writes);
	g_free(txn);
}

static struct platform_cond *
cond_add(
    struct platform_txn *txn, enum platform_cond_kind kind, const char *key)
{
	struct platform_cond *cond = g_new0(struct platform_cond, 1);

	cond->kind = kind;
	cond->key = g_strdup(key);
	g_ptr_array_add(txn->conds, cond);
	return cond;
}

void
platform_txn_absent(struct platform_txn *txn, const char *key)
{
	cond_add(txn, kCondAbsent, key);
}

void
platform_txn_version(struct platform_txn *txn, const char *key, int64_t version)
{
	cond_add(txn, kCondVersion, key)->version = version;
}

void
platform_txn_field(struct platform_txn *txn, const char *key, const char *field,
    const char *text)
{
	struct platform_cond *cond = cond_add(txn, kCondField, key);

	cond->field = g_strdup(field);
	cond->text = g_strdup(text);
}

void
platform_txn_write(struct platform_txn *txn, const char *key, const char *value)
{
	struct platform_write *w = g_new0(struct platform_write, 1);

	w->key = g_strdup(key);
	w->value = g_strdup(value);
	g_ptr_array_add(txn->writes, w);
}

/* Lists of rows that may be longer than one answer of the store. */
#include "store/scan.h"

enum { kRowsPerScan = 500 };

/* Moves the rows of a page to the end of a list. */
static void
append_page(GPtrArray *list, GPtrArray *page)
{
	g_ptr_array_set_free_func(page, NULL);
	for (guint i = 0; i < page->len; i++)
		g_ptr_array_add(list, page->pdata[i]);
	g_ptr_array_unref(page);
}

enum store_result
store_scan_all(const struct store *st, enum store_cause cause,
    const char *prefix, GPtrArray **rows)
{
	GPtrArray *list = store_rows_new();
	enum store_result res;
	bool has_more;

	do {
		const struct store_row *last =
		    list->len > 0 ? list->pdata[list->len - 1] : NULL;
		guint before = list->len;
		GPtrArray *page = NULL;

		has_more = false;
		res = st->ops->scan(st->ctx, cause, prefix,
		    last != NULL ? last->key : NULL, kRowsPerScan, &page,
		    &has_more);
		if (res == kStoreOk)
			append_page(list, page);
		/* The list is not complete, and does not go on. */
		if (res == kStoreOk && has_more && list->len == before)
			res = kStoreUnavailable;
	} while (res == kStoreOk && has_more);
	if (res == kStoreOk)
		*rows = list;
	else
		g_ptr_array_unref(list);
	return res;
}

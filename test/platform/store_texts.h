#ifndef TEST_PLATFORM_STORE_TEXTS_H
#define TEST_PLATFORM_STORE_TEXTS_H

#include <string>

extern "C" {
#include "store/store.h"
}

/* Results of store calls as texts. */

/* Writes the row if it does not exist. */
inline std::string
StoreTxnText(struct store *st, const std::string &key)
{
	struct store_txn *txn = store_txn_new();

	store_txn_absent(txn, key.c_str());
	store_txn_write(txn, key.c_str(), "v");
	std::string text =
	    store_result_text(st->ops->txn(st->ctx, kCauseBatch, txn));
	store_txn_free(txn);
	return text;
}

/* The result, and the content of object "o" if it was read. */
inline std::string
StoreObjectText(struct store *st)
{
	GBytes *data = nullptr;
	std::string text = store_result_text(
	    st->ops->get_object(st->ctx, kCauseBatch, "o", &data));
	gsize len = 0;

	if (data != nullptr) {
		const char *s = (const char *)g_bytes_get_data(data, &len);

		text += " " + std::string(s, len);
		g_bytes_unref(data);
	}
	return text;
}

#endif

/* Rows and VMs in the answers of the table service. */
#include "store/store_answer.h"

char *
store_answer_value(const json_t *row)
{
	const json_t *value = json_object_get(row, "value");
	const char *text = json_string_value(value);

	if (value == NULL)
		return NULL;
	return g_strdup(text != NULL ? text : "");
}

/* The key of another writer that is no text: none of this product's. */
static bool
has_foreign_key(const json_t *row)
{
	const json_t *key = json_object_get(row, "key");

	return key != NULL && !json_is_string(key);
}

GPtrArray *
store_answer_rows(const json_t *doc)
{
	GPtrArray *rows = store_rows_new();
	bool is_sound = json_is_array(doc);
	json_t *elem;
	size_t i;

	json_array_foreach(doc, i, elem)
	{
		const json_t *version = json_object_get(elem, "version");
		struct store_row *row;

		if (has_foreign_key(elem))
			continue;
		row = g_new0(struct store_row, 1);
		row->key =
		    g_strdup(json_string_value(json_object_get(elem, "key")));
		row->value = store_answer_value(elem);
		row->version = json_integer_value(version);
		g_ptr_array_add(rows, row);
		is_sound = is_sound && row->key != NULL && row->value != NULL &&
		    json_is_integer(version);
	}
	if (is_sound)
		return rows;
	g_ptr_array_unref(rows);
	return NULL;
}

static bool
vm_state_from_text(const char *text, enum store_vm_state *state)
{
	static const char *const names[] = {
	    [kVmLive] = "live", [kVmLeaving] = "leaving", [kVmGone] = "gone"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (g_strcmp0(text, names[i]) != 0)
			continue;
		*state = (enum store_vm_state)i;
		return true;
	}
	return false;
}

/* An entry of an unknown state says nothing about its VM. */
GPtrArray *
store_answer_vms(const json_t *list)
{
	GPtrArray *vms = store_vms_new();
	json_t *elem;
	size_t i;

	json_array_foreach(list, i, elem)
	{
		const char *address =
		    json_string_value(json_object_get(elem, "address"));
		const char *text =
		    json_string_value(json_object_get(elem, "state"));
		enum store_vm_state state;
		struct store_vm *vm;

		if (address == NULL || !vm_state_from_text(text, &state)) {
			store_report_row("vms", address != NULL ? address : "",
			    "no address or unknown state");
			continue;
		}
		vm = g_new0(struct store_vm, 1);
		vm->address = g_strdup(address);
		vm->state = state;
		g_ptr_array_add(vms, vm);
	}
	return vms;
}

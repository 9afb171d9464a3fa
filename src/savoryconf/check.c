/* Checks a configuration document, with one table of fields per section. */
#include <inttypes.h>
#include <string.h>

#include "savoryconf/savoryconf.h"

enum field_kind { kFieldText, kFieldBool, kFieldInt };

struct field_rule {
	const char *name;
	enum field_kind kind;
	/** Limits of an integer, or of the length of a text in bytes. */
	int64_t min;
	int64_t max;
};

struct section_rule {
	const char *name;
	const struct field_rule *fields;
	size_t nfields;
};

static const struct field_rule service_fields[] = {
    {"kind", kFieldText, 1, 6},
    {"idempotent", kFieldBool, 0, 0},
    {"tail_budget_ms", kFieldInt, 0, kSavoryconfTailBudgetMaxMs},
};
static const struct field_rule model_fields[] = {
    {"service", kFieldText, 1, kSavoryconfNameMax},
    {"version", kFieldText, 1, kSavoryconfNameMax},
};
static const struct field_rule target_fields[] = {
    {"url", kFieldText, 1, 255},
    {"service", kFieldText, 1, kSavoryconfNameMax},
    {"region", kFieldText, 1, kSavoryconfNameMax},
    {"data_center", kFieldText, 1, kSavoryconfNameMax},
    {"checks_fencing", kFieldBool, 0, 0},
    {"slots", kFieldInt, 1, 100000},
};
static const struct field_rule team_fields[] = {
    {"key_sha256", kFieldText, 64, 64},
    {"operator", kFieldBool, 0, 0},
    {"rate_per_s", kFieldInt, 0, 1000000},
    {"concurrency", kFieldInt, 0, 1000000},
    {"weight", kFieldInt, 1, kSavoryconfWeightMax},
};

static const struct section_rule sections[] = {
    {"services", service_fields, G_N_ELEMENTS(service_fields)},
    {"models", model_fields, G_N_ELEMENTS(model_fields)},
    {"targets", target_fields, G_N_ELEMENTS(target_fields)},
    {"teams", team_fields, G_N_ELEMENTS(team_fields)},
};

static bool
check_name(const char *section, const char *name, GError **err)
{
	size_t len = strlen(name);
	bool ok = len >= 1 && len <= kSavoryconfNameMax;

	for (size_t i = 0; ok && i < len; i++)
		ok = g_ascii_isalnum(name[i]) || strchr("-_.", name[i]);
	if (!ok)
		g_set_error(err, SAVORYCONF_ERROR, kSavoryconfErrName,
		    "%s: '%s' is not 1 to %d letters, digits, '-', '_' or "
		    "'.'",
		    section, name, kSavoryconfNameMax);
	return ok;
}

static bool
is_field_valid(const struct field_rule *rule, const json_t *val)
{
	switch (rule->kind) {
	case kFieldBool:
		return json_is_boolean(val);
	case kFieldInt:
		return json_is_integer(val) &&
		    json_integer_value(val) >= rule->min &&
		    json_integer_value(val) <= rule->max;
	case kFieldText:
		break;
	}
	return json_is_string(val) &&
	    (int64_t)json_string_length(val) >= rule->min &&
	    (int64_t)json_string_length(val) <= rule->max;
}

static bool
check_element(const struct section_rule *sec, const char *name,
    const json_t *elem, GError **err)
{
	if (json_object_size(elem) != sec->nfields) {
		g_set_error(err, SAVORYCONF_ERROR, kSavoryconfErrField,
		    "%s.%s: must be an object with %zu fields", sec->name, name,
		    sec->nfields);
		return false;
	}
	for (size_t i = 0; i < sec->nfields; i++) {
		const struct field_rule *rule = &sec->fields[i];

		if (is_field_valid(rule, json_object_get(elem, rule->name)))
			continue;
		g_set_error(err, SAVORYCONF_ERROR, kSavoryconfErrField,
		    "%s.%s.%s: missing, of the wrong type, or outside %" PRId64
		    " to %" PRId64,
		    sec->name, name, rule->name, rule->min, rule->max);
		return false;
	}
	return true;
}

static bool
check_section(const json_t *doc, const struct section_rule *sec, GError **err)
{
	json_t *map = json_object_get(doc, sec->name);
	const char *name;
	json_t *elem;

	if (!json_is_object(map)) {
		g_set_error(err, SAVORYCONF_ERROR, kSavoryconfErrSchema,
		    "section '%s' is missing", sec->name);
		return false;
	}
	json_object_foreach(map, name, elem)
	{
		if (!check_name(sec->name, name, err) ||
		    !check_element(sec, name, elem, err))
			return false;
	}
	return true;
}

/* Checks that the elements of a section refer to existing services. */
static bool
check_references(const json_t *doc, const char *section, GError **err)
{
	json_t *services = json_object_get(doc, "services");
	const char *name;
	json_t *elem;

	json_object_foreach(json_object_get(doc, section), name, elem)
	{
		const char *svc =
		    json_string_value(json_object_get(elem, "service"));

		if (json_object_get(services, svc) != NULL)
			continue;
		g_set_error(err, SAVORYCONF_ERROR, kSavoryconfErrReference,
		    "%s.%s.service: unknown service '%s'", section, name, svc);
		return false;
	}
	return true;
}

static bool
check_kinds(const json_t *doc, GError **err)
{
	const char *name;
	json_t *elem;

	json_object_foreach(json_object_get(doc, "services"), name, elem)
	{
		const char *kind =
		    json_string_value(json_object_get(elem, "kind"));

		if (strcmp(kind, "engine") == 0 || strcmp(kind, "plain") == 0)
			continue;
		g_set_error(err, SAVORYCONF_ERROR, kSavoryconfErrField,
		    "services.%s.kind: '%s' is neither engine nor plain", name,
		    kind);
		return false;
	}
	return true;
}

static bool
check_urls(const json_t *doc, GError **err)
{
	const char *name;
	json_t *elem;

	json_object_foreach(json_object_get(doc, "targets"), name, elem)
	{
		const char *url =
		    json_string_value(json_object_get(elem, "url"));

		if (g_str_has_prefix(url, "http://") &&
		    !g_str_has_suffix(url, "/"))
			continue;
		g_set_error(err, SAVORYCONF_ERROR, kSavoryconfErrField,
		    "targets.%s.url: '%s' is not http://IP:PORT", name, url);
		return false;
	}
	return true;
}

bool
savoryconf_check(const json_t *doc, GError **err)
{
	const json_t *schema = json_object_get(doc, "schema");

	if (json_integer_value(schema) != kSavoryconfSchema) {
		g_set_error(err, SAVORYCONF_ERROR, kSavoryconfErrSchema,
		    "schema: must be %d", kSavoryconfSchema);
		return false;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(sections); i++)
		if (!check_section(doc, &sections[i], err))
			return false;
	return check_references(doc, "models", err) &&
	    check_references(doc, "targets", err) && check_kinds(doc, err) &&
	    check_urls(doc, err);
}

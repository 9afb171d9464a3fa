/* Settings from flags, environment variables and the settings file. */
#include "settings/settings.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "error/error.h"
#include "log/log.h"

enum setting_kind { kSettingText, kSettingNumber };

struct setting_row {
	enum setting_kind kind;
	size_t offset;
	const char *flag;
	const char *text_default;
	int64_t number_default;
	int64_t min;
	int64_t max;
	const char *unit;
	const char *help;
};

static const struct setting_row setting_rows[] = {
#define TEXT(field, flag, def, help)                                         \
	{kSettingText, offsetof(struct settings, field), flag, def, 0, 0, 0, \
	    "text", help},
#define NUM(field, flag, def, lo, hi, unit, help)                           \
	{kSettingNumber, offsetof(struct settings, field), flag, NULL, def, \
	    lo, hi, unit, help},
    SF_SETTINGS(TEXT, NUM)
#undef TEXT
#undef NUM
};

enum { kSettingCount = G_N_ELEMENTS(setting_rows) };

/* Buffer size of an address without its port; any IPv6 address fits. */
enum { kIpBufBytes = 64 };

static char *
variable_name(const char *flag)
{
	char *upper = g_ascii_strup(flag, -1);
	char *name;

	g_strdelimit(upper, "-", '_');
	name = g_strdup_printf("SAVORYFLOW_%s", upper);
	g_free(upper);
	return name;
}

static bool
set_number(struct settings *set, const struct setting_row *row,
    const char *value, GError **err)
{
	int64_t *field = (int64_t *)(void *)((char *)set + row->offset);
	char *end = NULL;
	int64_t n = g_ascii_strtoll(value, &end, 10);

	if (end == value || (*end != '\0' && strcmp(end, row->unit) != 0)) {
		g_set_error(err, SF_ERROR, kErrSettingUnit,
		    "--%s: '%s' is not a whole number of %s (%" PRId64
		    " to %" PRId64 ")",
		    row->flag, value, row->unit, row->min, row->max);
		return false;
	}
	if (n < row->min || n > row->max) {
		g_set_error(err, SF_ERROR, kErrSettingRange,
		    "--%s: %s is outside %" PRId64 " to %" PRId64 " %s",
		    row->flag, value, row->min, row->max, row->unit);
		return false;
	}
	*field = n;
	return true;
}

static bool
set_value(struct settings *set, const struct setting_row *row,
    const char *value, GError **err)
{
	char **field;

	if (row->kind == kSettingNumber)
		return set_number(set, row, value, err);
	field = (char **)(void *)((char *)set + row->offset);
	g_free(*field);
	*field = g_strdup(value);
	return true;
}

static void
set_defaults(struct settings *set)
{
	for (int i = 0; i < kSettingCount; i++) {
		const struct setting_row *row = &setting_rows[i];
		char *field = (char *)set + row->offset;

		if (row->kind == kSettingText)
			*(char **)(void *)field = g_strdup(row->text_default);
		else
			*(int64_t *)(void *)field = row->number_default;
	}
}

static const struct setting_row *
find_row_by_variable(const char *name, size_t len)
{
	for (int i = 0; i < kSettingCount; i++) {
		char *var = variable_name(setting_rows[i].flag);
		bool is_same =
		    strlen(var) == len && strncmp(var, name, len) == 0;

		g_free(var);
		if (is_same)
			return &setting_rows[i];
	}
	return NULL;
}

static const struct setting_row *
find_row_by_flag(const char *flag)
{
	for (int i = 0; i < kSettingCount; i++)
		if (strcmp(setting_rows[i].flag, flag) == 0)
			return &setting_rows[i];
	return NULL;
}

/* Path of the settings file, from the flags, else from the variables. */
static const char *
find_file_path(int argc, char **argv, char **env)
{
	static const char flag[] = "--node-file=";
	static const char variable[] = "SAVORYFLOW_NODE_FILE=";

	for (int i = 0; i < argc; i++) {
		if (g_str_has_prefix(argv[i], flag))
			return argv[i] + strlen(flag);
		if (strcmp(argv[i], "--node-file") == 0 && i + 1 < argc)
			return argv[i + 1];
	}
	for (; env != NULL && *env != NULL; env++)
		if (g_str_has_prefix(*env, variable))
			return *env + strlen(variable);
	return NULL;
}

static char *
value_to_text(const json_t *value)
{
	if (json_is_string(value))
		return g_strdup(json_string_value(value));
	if (json_is_integer(value))
		return g_strdup_printf(
		    "%" JSON_INTEGER_FORMAT, json_integer_value(value));
	/* Some writers of JSON give whole numbers as 120.0. */
	if (json_is_real(value) &&
	    json_real_value(value) == floor(json_real_value(value)))
		return g_strdup_printf("%.0f", json_real_value(value));
	return NULL;
}

/* Units that a settings file may use, with the unit of the flag. */
static const struct {
	const char *suffix;
	const char *flag_suffix;
	int32_t factor;
} file_units[] = {
    {"-s", "-ms", 1000},
    {"-cores", "-millicores", 1000},
};

/* @return flag of which the entry gives the value in a larger unit, or NULL */
static char *
flag_in_smaller_unit(const char *name, int32_t *factor)
{
	for (size_t i = 0; i < G_N_ELEMENTS(file_units); i++) {
		size_t base;
		char *flag;

		if (!g_str_has_suffix(name, file_units[i].suffix))
			continue;
		base = strlen(name) - strlen(file_units[i].suffix);
		flag = g_strdup_printf(
		    "%.*s%s", (int)base, name, file_units[i].flag_suffix);
		*factor = file_units[i].factor;
		if (find_row_by_flag(flag) != NULL)
			return flag;
		g_free(flag);
	}
	return NULL;
}

/*
 * Parses an entry into flag and value. Durations may be given in seconds and
 * processor capacity in cores, under the flag's name with that unit.
 * @return false for an unknown setting or a value of the wrong type
 */
static bool
parse_entry(const char *name, const json_t *value, char **flag, char **text)
{
	int32_t factor = 1;

	if (find_row_by_flag(name) != NULL) {
		*flag = g_strdup(name);
		*text = value_to_text(value);
		return *text != NULL;
	}
	if (!json_is_number(value))
		return false;
	*flag = flag_in_smaller_unit(name, &factor);
	*text = g_strdup_printf("%.0f", json_number_value(value) * factor);
	return *flag != NULL;
}

/* Reads a settings file. @return values by flag, or NULL and an error */
static GHashTable *
read_file(const char *path, GError **err)
{
	json_error_t json_err;
	json_t *doc = json_load_file(path, 0, &json_err);
	GHashTable *values =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	const char *name;
	json_t *elem;

	if (!json_is_object(doc)) {
		g_set_error(err, SF_ERROR, kErrSettingUnknown,
		    "--node-file: %s: not a JSON object: line %d: %s", path,
		    json_err.line, json_err.text);
		json_decref(doc);
		g_hash_table_unref(values);
		return NULL;
	}
	json_object_foreach(doc, name, elem)
	{
		char *flag = NULL;
		char *text = NULL;

		if (parse_entry(name, elem, &flag, &text)) {
			g_hash_table_replace(values, flag, text);
			continue;
		}
		g_free(flag);
		g_free(text);
		if (err != NULL && *err == NULL)
			g_set_error(err, SF_ERROR, kErrSettingUnknown,
			    "--node-file: %s: '%s' is an unknown setting, or "
			    "its value is neither text nor a whole number",
			    path, name);
	}
	json_decref(doc);
	if (err == NULL || *err == NULL)
		return values;
	g_hash_table_unref(values);
	return NULL;
}

static bool
set_from_file(struct settings *set, const char *path, GError **err)
{
	GHashTableIter it;
	void *flag;
	void *value;

	if (path == NULL || *path == '\0')
		return true;
	set->file_values = read_file(path, err);
	if (set->file_values == NULL)
		return false;
	g_hash_table_iter_init(&it, set->file_values);
	while (g_hash_table_iter_next(&it, &flag, &value))
		if (!set_value(set, find_row_by_flag(flag), value, err))
			return false;
	return true;
}

bool
settings_file_changed(struct settings *set)
{
	struct stat st;
	int64_t mtime_ns;
	bool is_changed;

	if (set->file_values == NULL || stat(set->node_file, &st) != 0)
		return false;
	mtime_ns = (int64_t)st.st_mtim.tv_sec * 1000000000 +
	    (int64_t)st.st_mtim.tv_nsec;
	is_changed = set->file_mtime_ns != 0 && set->file_mtime_ns != mtime_ns;
	set->file_mtime_ns = mtime_ns;
	return is_changed;
}

/* Flags that are new or have another value, separated by commas. */
static char *
changed_flags(GHashTable *old, GHashTable *updated)
{
	GString *list = g_string_new(NULL);
	GHashTableIter it;
	void *flag;
	void *value;

	g_hash_table_iter_init(&it, updated);
	while (g_hash_table_iter_next(&it, &flag, &value))
		if (g_strcmp0(g_hash_table_lookup(old, flag), value) != 0)
			g_string_append_printf(list, "%s%s",
			    list->len > 0 ? "," : "", (const char *)flag);
	return g_string_free(list, FALSE);
}

void
settings_reload_and_log(struct settings *set)
{
	GError *err = NULL;
	GHashTable *values;
	const char *level;
	char *changed;

	if (set->file_values == NULL)
		return;
	values = read_file(set->node_file, &err);
	if (values == NULL) {
		log_event(kEvtSettingsBad, "error", err->message, (char *)NULL);
		g_error_free(err);
		return;
	}
	changed = changed_flags(set->file_values, values);
	level = g_hash_table_lookup(values, "log-level");
	if (level != NULL)
		log_set_level(level);
	log_event(kEvtSettingsReloaded, "file", set->node_file, "changed",
	    changed, (char *)NULL);
	g_free(changed);
	g_hash_table_unref(set->file_values);
	set->file_values = values;
}

/* Variables of the client commands, which are not settings. */
static bool
is_client_variable(const char *assignment)
{
	return g_str_has_prefix(assignment, "SAVORYFLOW_URL=") ||
	    g_str_has_prefix(assignment, "SAVORYFLOW_KEY=");
}

static bool
set_from_environment(struct settings *set, char **env, GError **err)
{
	for (; env != NULL && *env != NULL; env++) {
		const char *eq = strchr(*env, '=');
		const struct setting_row *row;

		if (eq == NULL || !g_str_has_prefix(*env, "SAVORYFLOW_") ||
		    is_client_variable(*env))
			continue;
		row = find_row_by_variable(*env, (size_t)(eq - *env));
		if (row == NULL) {
			g_set_error(err, SF_ERROR, kErrSettingUnknown,
			    "%.*s: unknown setting", (int)(eq - *env), *env);
			return false;
		}
		if (!set_value(set, row, eq + 1, err))
			return false;
	}
	return true;
}

static void
build_argtable(void **table)
{
	for (int i = 0; i < kSettingCount; i++) {
		char *datatype = g_strdup_printf("<%s>", setting_rows[i].unit);

		table[i] = arg_str0(NULL, setting_rows[i].flag,
		    g_intern_string(datatype), setting_rows[i].help);
		g_free(datatype);
	}
	table[kSettingCount] = arg_end(8);
}

/* Rejects abbreviated flags, which argtable would accept. */
static bool
check_flag_names(int argc, char **argv, GError **err)
{
	for (int i = 0; i < argc; i++) {
		char *name;
		bool is_known = false;

		if (!g_str_has_prefix(argv[i], "--"))
			continue;
		name = g_strdup(argv[i] + 2);
		g_strdelimit(name, "=", '\0');
		for (int k = 0; k < kSettingCount && !is_known; k++)
			is_known = strcmp(setting_rows[k].flag, name) == 0;
		g_free(name);
		if (!is_known) {
			g_set_error(err, SF_ERROR, kErrSettingUnknown,
			    "%s: unknown setting", argv[i]);
			return false;
		}
	}
	return true;
}

static bool
set_from_flags(struct settings *set, int argc, char **argv, GError **err)
{
	void *table[kSettingCount + 1];
	char **args = g_new0(char *, (gsize)argc + 2);
	bool ok = true;

	args[0] = (char *)"savoryflow serve";
	for (int i = 0; i < argc; i++)
		args[i + 1] = argv[i];
	build_argtable(table);
	if (arg_parse(argc + 1, args, table) > 0) {
		struct arg_end *end = table[kSettingCount];
		const char *bad_arg = end->argval[0] ? end->argval[0] : "";

		g_set_error(err, SF_ERROR, kErrSettingUnknown,
		    "'%s': unknown setting or missing value", bad_arg);
		ok = false;
	}
	for (int i = 0; ok && i < kSettingCount; i++) {
		struct arg_str *arg = table[i];

		if (arg->count > 0)
			ok =
			    set_value(set, &setting_rows[i], arg->sval[0], err);
	}
	arg_freetable(table, kSettingCount + 1);
	g_free(args);
	return ok;
}

bool
settings_parse_address(const char *addr, char *ip, uint16_t *port)
{
	const char *colon = strrchr(addr, ':');
	struct in_addr v4;
	char *end;
	long n;

	if (colon == NULL || colon - addr >= kIpBufBytes)
		return false;
	memcpy(ip, addr, (size_t)(colon - addr));
	ip[colon - addr] = '\0';
	n = strtol(colon + 1, &end, 10);
	if (*end != '\0' || n < 1 || n > UINT16_MAX)
		return false;
	*port = (uint16_t)n;
	return inet_pton(AF_INET, ip, &v4) == 1;
}

static bool
check_address(const char *flag, const char *addr, GError **err)
{
	char ip[kIpBufBytes];
	uint16_t port;

	if (settings_parse_address(addr, ip, &port))
		return true;
	g_set_error(err, SF_ERROR, kErrSettingRange,
	    "--%s: '%s' is not IP:PORT with a port of 1 to 65535", flag, addr);
	return false;
}

/* A name that is too long would have to be cut between daemons. */
static bool
check_name(const char *flag, const char *name, GError **err)
{
	if (strlen(name) <= kSettingsNameBytesMax)
		return true;
	g_set_error(err, SF_ERROR, kErrSettingRange,
	    "--%s: the name has over %d bytes", flag, kSettingsNameBytesMax);
	return false;
}

/* Checks addresses, names and the session lease; an empty name becomes the peer
 * address. */
static bool
validate(struct settings *set, GError **err)
{
	char **peers = g_strsplit(set->peers, ",", -1);
	bool ok = check_address("listen", set->listen, err) &&
	    check_address("peer-listen", set->peer_listen, err) &&
	    check_address("front-listen", set->front_listen, err) &&
	    check_address("ready-listen", set->ready_listen, err) &&
	    (set->metrics_listen[0] == '\0' ||
		check_address("metrics-listen", set->metrics_listen, err)) &&
	    check_name("region", set->region, err) &&
	    check_name("data-center", set->data_center, err);

	for (char **p = peers; ok && *p != NULL; p++)
		ok = **p == '\0' || check_address("peers", *p, err);
	g_strfreev(peers);
	if (ok && set->session_lease_ms < 2 * set->session_period_ms) {
		g_set_error(err, SF_ERROR, kErrSettingRange,
		    "--session-lease-ms: %" PRId64
		    " is less than twice --session-period-ms",
		    set->session_lease_ms);
		ok = false;
	}
	if (ok && set->name[0] == '\0') {
		g_free(set->name);
		set->name = g_strdup(set->peer_listen);
	}
	return ok;
}

struct settings *
settings_parse(int argc, char **argv, char **environ, GError **err)
{
	struct settings *set = g_new0(struct settings, 1);

	set_defaults(set);
	if (check_flag_names(argc, argv, err) &&
	    set_from_file(set, find_file_path(argc, argv, environ), err) &&
	    set_from_environment(set, environ, err) &&
	    set_from_flags(set, argc, argv, err) && validate(set, err))
		return set;
	settings_free(set);
	return NULL;
}

void
settings_free(struct settings *set)
{
	if (set == NULL)
		return;
	for (int i = 0; i < kSettingCount; i++) {
		const struct setting_row *row = &setting_rows[i];

		if (row->kind == kSettingText)
			g_free(*(char **)(void *)((char *)set + row->offset));
	}
	if (set->file_values != NULL)
		g_hash_table_unref(set->file_values);
	g_free(set);
}

void
settings_print_help(FILE *out)
{
	void *table[kSettingCount + 1];

	build_argtable(table);
	arg_print_glossary(out, table, "  %-34s %s\n");
	arg_freetable(table, kSettingCount + 1);
}

void
settings_print_markdown(FILE *out)
{
	fprintf(out,
	    "# Settings of `savoryflow serve`\n\nA flag overrides its "
	    "variable. An unknown name, an invalid unit or a value out "
	    "of range makes the start fail with exit code 2.\n\n"
	    "| flag | variable | default | range | meaning |\n"
	    "|---|---|---|---|---|\n");
	for (int i = 0; i < kSettingCount; i++) {
		const struct setting_row *r = &setting_rows[i];
		char *var = variable_name(r->flag);

		fprintf(out, "| `--%s` | `%s` | ", r->flag, var);
		if (r->kind == kSettingText)
			fprintf(out, "`%s` | text", r->text_default);
		else
			fprintf(out,
			    "%" PRId64 " | %" PRId64 " to %" PRId64 " %s",
			    r->number_default, r->min, r->max, r->unit);
		fprintf(out, " | %s |\n", r->help);
		g_free(var);
	}
}

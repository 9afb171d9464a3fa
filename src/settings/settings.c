/* Checked settings from flags and environment variables. */
#include "settings/settings.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <inttypes.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "error/error.h"

enum setting_kind { kSettingText, kSettingNumber };

struct setting_row {
	enum setting_kind kind;
	size_t offset;
	const char *flag;
	const char *text_default;
	int64_t number_default;
	int64_t least;
	int64_t most;
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

/* Room for an address part: an IPv6 text and its terminator. */
enum { kAddressText = 64 };

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
		    row->flag, value, row->unit, row->least, row->most);
		return false;
	}
	if (n < row->least || n > row->most) {
		g_set_error(err, SF_ERROR, kErrSettingRange,
		    "--%s: %s is outside %" PRId64 " to %" PRId64 " %s",
		    row->flag, value, row->least, row->most, row->unit);
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
row_of_variable(const char *name, size_t len)
{
	for (int i = 0; i < kSettingCount; i++) {
		char *var = variable_name(setting_rows[i].flag);
		bool same = strlen(var) == len && strncmp(var, name, len) == 0;

		g_free(var);
		if (same)
			return &setting_rows[i];
	}
	return NULL;
}

/* Variables of the client commands. */
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
		row = row_of_variable(*env, (size_t)(eq - *env));
		if (row == NULL) {
			g_set_error(err, SF_ERROR, kErrSettingUnknown,
			    "%.*s: no such setting", (int)(eq - *env), *env);
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
		char *glossary = g_strdup_printf("<%s>", setting_rows[i].unit);

		table[i] = arg_str0(NULL, setting_rows[i].flag,
		    g_intern_string(glossary), setting_rows[i].help);
		g_free(glossary);
	}
	table[kSettingCount] = arg_end(8);
}

/* argtable takes the start of a name for the name; settings do not. */
static bool
check_flag_names(int argc, char **argv, GError **err)
{
	for (int i = 0; i < argc; i++) {
		char *name;
		bool known = false;

		if (!g_str_has_prefix(argv[i], "--"))
			continue;
		name = g_strdup(argv[i] + 2);
		g_strdelimit(name, "=", '\0');
		for (int k = 0; k < kSettingCount && !known; k++)
			known = strcmp(setting_rows[k].flag, name) == 0;
		g_free(name);
		if (!known) {
			g_set_error(err, SF_ERROR, kErrSettingUnknown,
			    "%s: no such setting", argv[i]);
			return false;
		}
	}
	return true;
}

static bool
set_from_flags(struct settings *set, int argc, char **argv, GError **err)
{
	void *table[kSettingCount + 1];
	char **words = g_new0(char *, (gsize)argc + 2);
	bool ok = true;

	words[0] = (char *)"savoryflow serve";
	for (int i = 0; i < argc; i++)
		words[i + 1] = argv[i];
	build_argtable(table);
	if (arg_parse(argc + 1, words, table) > 0) {
		struct arg_end *end = table[kSettingCount];
		const char *word = end->argval[0] ? end->argval[0] : "";

		g_set_error(err, SF_ERROR, kErrSettingUnknown,
		    "'%s': no such setting, or its value is missing", word);
		ok = false;
	}
	for (int i = 0; ok && i < kSettingCount; i++) {
		struct arg_str *arg = table[i];

		if (arg->count > 0)
			ok =
			    set_value(set, &setting_rows[i], arg->sval[0], err);
	}
	arg_freetable(table, kSettingCount + 1);
	g_free(words);
	return ok;
}

bool
settings_split_address(const char *addr, char *ip, uint16_t *port)
{
	const char *colon = strrchr(addr, ':');
	struct in_addr v4;
	char *end;
	long n;

	if (colon == NULL || colon - addr >= kAddressText)
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
	char ip[kAddressText];
	uint16_t port;

	if (settings_split_address(addr, ip, &port))
		return true;
	g_set_error(err, SF_ERROR, kErrSettingRange,
	    "--%s: '%s' is not IP:PORT with a port of 1 to 65535", flag, addr);
	return false;
}

static bool
check_together(struct settings *set, GError **err)
{
	char **peers = g_strsplit(set->peers, ",", -1);
	bool ok = check_address("listen", set->listen, err) &&
	    check_address("peer-listen", set->peer_listen, err);

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
	    set_from_environment(set, environ, err) &&
	    set_from_flags(set, argc, argv, err) && check_together(set, err))
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
	    "# Settings of `savoryflow serve`\n\nA flag goes over its "
	    "variable. An unknown name, a bad unit or a value out of "
	    "range stops the start with exit code 2.\n\n"
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
			    r->number_default, r->least, r->most, r->unit);
		fprintf(out, " | %s |\n", r->help);
		g_free(var);
	}
}

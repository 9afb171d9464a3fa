/* Subcommands: the daemon, and the clients of its API. */
#include "cli/cli.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli/client.h"
#include "gateway/gateway.h"
#include "log/log.h"
#include "os/json_text.h"
#include "savoryconf/savoryconf.h"
#include "serve/daemon.h"
#include "settings/settings.h"

enum {
	kProgressPeriodUs = 500000,
};

extern char **environ;

/* Flags of the client commands. */
struct cli_flags {
	struct client client;
	const char *service;
	const char *id;
	const char *from;
	const char *due;
	bool is_json;
	bool has_wait;
	/** First argument that is not a flag, or NULL. */
	const char *operand;
};

struct command {
	const char *name;
	const char *sub;
	const char *usage;
	int (*run)(const struct cli_flags *flags);
};

static int
print_reply(const struct client_reply *reply)
{
	bool ok = reply->status >= 200 && reply->status < 300;

	fputs(reply->body->str, ok ? stdout : stderr);
	if (reply->body->len > 0 &&
	    reply->body->str[reply->body->len - 1] != '\n')
		fputc('\n', ok ? stdout : stderr);
	return ok ? kCliOk : kCliRefused;
}

static int
request_and_print(
    const struct cli_flags *flags, const struct client_request *req)
{
	struct client_reply reply;
	int code = kCliUnreachable;

	if (client_perform_or_report(&flags->client, req, &reply))
		code = print_reply(&reply);
	g_string_free(reply.body, TRUE);
	return code;
}

static int
get_and_print(const struct cli_flags *flags, const char *path)
{
	struct client_request req = {.method = "GET", .path = path};

	return request_and_print(flags, &req);
}

/* Reads a file, or standard input for "-". */
static char *
read_input(const char *name, gsize *len)
{
	GError *err = NULL;
	char *text = NULL;

	if (name == NULL) {
		fprintf(stderr, "savoryflow: FILE is needed, or -\n");
		return NULL;
	}
	if (strcmp(name, "-") == 0)
		name = "/dev/stdin";
	if (!g_file_get_contents(name, &text, len, &err)) {
		fprintf(stderr, "savoryflow: %s\n", err->message);
		g_error_free(err);
	}
	return text;
}

static int
config_check(const struct cli_flags *flags)
{
	gsize len;
	char *text = read_input(flags->operand, &len);
	GError *err = NULL;
	json_t *doc;
	bool ok;

	if (text == NULL)
		return kCliUsage;
	doc = json_text_load_bytes(text, len);
	ok = doc != NULL && savoryconf_check(doc, &err);
	if (!ok)
		fprintf(stderr, "savoryflow: %s\n",
		    err != NULL ? err->message : "not valid JSON");
	g_clear_error(&err);
	json_decref(doc);
	g_free(text);
	return ok ? kCliOk : kCliRefused;
}

static int
config_submit(const struct cli_flags *flags)
{
	struct client_request req = {.method = "PUT"};
	gsize len;
	char *text = read_input(flags->operand, &len);
	char *path;
	int code;

	if (text == NULL)
		return kCliUsage;
	path = g_strdup_printf(
	    "/v1/config?from=%s", flags->from != NULL ? flags->from : "0");
	req.path = path;
	req.body = text;
	req.body_len = len;
	code = request_and_print(flags, &req);
	g_free(path);
	g_free(text);
	return code;
}

static int
config_show(const struct cli_flags *flags)
{
	return get_and_print(flags, "/v1/config");
}

static int
config_history(const struct cli_flags *flags)
{
	char *path = g_strdup_printf("/v1/config/history?after=%s",
	    flags->from != NULL ? flags->from : "0");
	int code = get_and_print(flags, path);

	g_free(path);
	return code;
}

static void
print_difference(const char *section, json_t *part, json_t *old)
{
	const char *name;
	json_t *elem;

	json_object_foreach(part, name, elem)
	{
		const char *sign =
		    json_object_get(old, name) == NULL ? "+" : "~";
		char *text = json_dumps(
		    elem, JSON_SORT_KEYS | JSON_COMPACT | JSON_ENCODE_ANY);

		if (json_is_null(elem))
			printf("- %s.%s\n", section, name);
		else
			printf("%s %s.%s %s\n", sign, section, name, text);
		free(text);
	}
}

static int
config_diff_command(const struct cli_flags *flags)
{
	struct client_request req = {.method = "GET", .path = "/v1/config"};
	struct client_reply reply;
	gsize len;
	char *text = read_input(flags->operand, &len);
	json_t *to = text != NULL ? json_text_load_bytes(text, len) : NULL;
	json_t *current = NULL;
	json_t *from;
	json_t *diff;
	const char *section;
	json_t *part;

	g_free(text);
	if (to == NULL)
		return kCliUsage;
	if (!client_perform_or_report(&flags->client, &req, &reply)) {
		g_string_free(reply.body, TRUE);
		json_decref(to);
		return kCliUnreachable;
	}
	current = json_text_load(reply.body->str);
	from = json_object_get(current, "document");
	diff = config_diff(from, to);
	json_object_foreach(diff, section, part)
	{
		print_difference(section, part, json_object_get(from, section));
	}
	json_decref(diff);
	json_decref(current);
	json_decref(to);
	g_string_free(reply.body, TRUE);
	return kCliOk;
}

/* Progress is for interactive use: on a terminal, without --json. */
static bool
is_progress_shown(const struct cli_flags *flags)
{
	return !flags->is_json && isatty(STDERR_FILENO);
}

static void
show_progress(const struct cli_flags *flags, const json_t *doc)
{
	if (!is_progress_shown(flags))
		return;
	fprintf(stderr, "\r%s: %d of %d items, %d failed ",
	    json_string_value(json_object_get(doc, "state")),
	    (int)json_integer_value(json_object_get(doc, "ok")) +
		(int)json_integer_value(json_object_get(doc, "failed")),
	    (int)json_integer_value(json_object_get(doc, "items")),
	    (int)json_integer_value(json_object_get(doc, "failed")));
}

static int
wait_for_job(const struct cli_flags *flags, const char *id)
{
	char *path = g_strdup_printf("/v1/batches/%s", id);
	struct client_request req = {.method = "GET", .path = path};
	int code = -1;

	while (code < 0) {
		struct client_reply reply;
		json_t *doc;
		const char *state;

		if (!client_perform_or_report(&flags->client, &req, &reply)) {
			g_string_free(reply.body, TRUE);
			code = kCliUnreachable;
			break;
		}
		doc = json_text_load(reply.body->str);
		state = json_string_value(json_object_get(doc, "state"));
		show_progress(flags, doc);
		if (reply.status != 200 || g_strcmp0(state, "running") != 0) {
			if (is_progress_shown(flags))
				fputc('\n', stderr);
			code = print_reply(&reply);
		} else {
			g_usleep(kProgressPeriodUs);
		}
		json_decref(doc);
		g_string_free(reply.body, TRUE);
	}
	g_free(path);
	return code;
}

static int
submit_and_wait(const struct cli_flags *flags, const struct client_request *req)
{
	struct client_reply reply;
	json_t *doc;
	int code;

	if (!client_perform_or_report(&flags->client, req, &reply)) {
		g_string_free(reply.body, TRUE);
		return kCliUnreachable;
	}
	code = print_reply(&reply);
	doc = json_text_load(reply.body->str);
	if (code == kCliOk && flags->has_wait)
		code = wait_for_job(
		    flags, json_string_value(json_object_get(doc, "id")));
	json_decref(doc);
	g_string_free(reply.body, TRUE);
	return code;
}

static int
batch_submit_command(const struct cli_flags *flags)
{
	gsize len;
	char *text = read_input(flags->operand, &len);
	char *path;
	char *id = NULL;
	char *due = NULL;
	const char *headers[3] = {NULL, NULL, NULL};
	struct client_request req = {.method = "POST", .headers = headers};
	int n = 0;
	int code;

	if (text == NULL || flags->service == NULL) {
		fprintf(stderr, "savoryflow: --service and FILE are needed\n");
		g_free(text);
		return kCliUsage;
	}
	if (flags->id != NULL)
		headers[n++] = id =
		    g_strdup_printf("Savoryflow-Job-Id: %s", flags->id);
	if (flags->due != NULL)
		headers[n] = due =
		    g_strdup_printf("Savoryflow-Due: %s", flags->due);
	path = g_strdup_printf("/v1/batches?service=%s", flags->service);
	req.path = path;
	req.body = text;
	req.body_len = len;
	code = submit_and_wait(flags, &req);
	g_free(path);
	g_free(id);
	g_free(due);
	g_free(text);
	return code;
}

static int
batch_status_command(const struct cli_flags *flags)
{
	char *path;
	int code;

	if (flags->operand == NULL)
		return kCliUsage;
	if (flags->has_wait)
		return wait_for_job(flags, flags->operand);
	path = g_strdup_printf("/v1/batches/%s", flags->operand);
	code = get_and_print(flags, path);
	g_free(path);
	return code;
}

static int
batch_results_command(const struct cli_flags *flags)
{
	long from = 0;
	int code = kCliOk;
	bool has_more = flags->operand != NULL;

	if (!has_more)
		return kCliUsage;
	while (has_more && code == kCliOk) {
		char *path = g_strdup_printf(
		    "/v1/batches/%s/results?from=%ld", flags->operand, from);
		struct client_request req = {.method = "GET", .path = path};
		struct client_reply reply;

		if (client_perform_or_report(&flags->client, &req, &reply))
			code = reply.body->len > 0 || reply.status != 200
			    ? print_reply(&reply)
			    : kCliOk;
		else
			code = kCliUnreachable;
		has_more = !reply.is_complete && reply.next > from;
		from = reply.next;
		g_string_free(reply.body, TRUE);
		g_free(path);
	}
	return code;
}

static int
batch_cancel_command(const struct cli_flags *flags)
{
	char *path;
	struct client_request req = {.method = "POST"};
	int code;

	if (flags->operand == NULL)
		return kCliUsage;
	path = g_strdup_printf("/v1/batches/%s/cancel", flags->operand);
	req.path = path;
	code = request_and_print(flags, &req);
	g_free(path);
	return code;
}

static int
status_command(const struct cli_flags *flags)
{
	return get_and_print(flags, "/v1/status");
}

static int
drain_command(const struct cli_flags *flags)
{
	struct client_request req = {.method = "POST", .path = "/v1/drain"};

	return request_and_print(flags, &req);
}

static int
events_command(const struct cli_flags *flags)
{
	log_print_catalogue(stdout);
	return kCliOk;
}

static int
settings_command(const struct cli_flags *flags)
{
	settings_print_markdown(stdout);
	return kCliOk;
}

static const struct command commands[] = {
    {"config", "check", "FILE  check a document", config_check},
    {"config", "submit", "FILE --from=GENERATION  put it in force",
	config_submit},
    {"config", "show", "print the configuration in force", config_show},
    {"config", "history", "[--from=GENERATION]  print the audit trail",
	config_history},
    {"config", "diff", "FILE  compare with the one in force",
	config_diff_command},
    {"batch", "submit",
	"FILE --service=NAME [--id=ID] [--due=SECONDS] [--wait]",
	batch_submit_command},
    {"batch", "status", "ID [--wait]", batch_status_command},
    {"batch", "results", "ID  print the results as JSON lines",
	batch_results_command},
    {"batch", "cancel", "ID", batch_cancel_command},
    {"status", NULL, "print members and targets", status_command},
    {"drain", NULL, "make the daemon leave gracefully", drain_command},
    {"events", NULL, "print the catalogue of log events", events_command},
    {"settings", NULL, "print the table of settings", settings_command},
};

static void
print_usage(FILE *out)
{
	fprintf(out, "usage: savoryflow serve [SETTINGS]\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "       savoryflow %s%s%s  %s\n", commands[i].name,
		    commands[i].sub != NULL ? " " : "",
		    commands[i].sub != NULL ? commands[i].sub : "",
		    commands[i].usage);
	fprintf(out,
	    "       savoryflow --version | --help\n\n"
	    "Clients take --url=URL (SAVORYFLOW_URL) and --key=KEY "
	    "(SAVORYFLOW_KEY).\nExit codes: 0 done, 1 refused or "
	    "failed, 2 bad usage, 3 no daemon answers, or its answer "
	    "breaks off.\n");
}

static const struct command *
command_find(int argc, char **argv, int *nwords)
{
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		const struct command *cmd = &commands[i];

		if (strcmp(cmd->name, argv[1]) != 0)
			continue;
		if (cmd->sub == NULL) {
			*nwords = 1;
			return cmd;
		}
		if (argc > 2 && strcmp(cmd->sub, argv[2]) == 0) {
			*nwords = 2;
			return cmd;
		}
	}
	return NULL;
}

static const char *
arg_text(const struct arg_str *arg, const char *fallback)
{
	return arg->count > 0 ? arg->sval[0] : fallback;
}

static int
client_main(const struct command *cmd, int argc, char **argv)
{
	struct arg_str *url = arg_str0(NULL, "url", "URL", "daemon");
	struct arg_str *key = arg_str0(NULL, "key", "KEY", "API key");
	struct arg_str *service = arg_str0(NULL, "service", "NAME", "service");
	struct arg_str *id = arg_str0(NULL, "id", "ID", "job id");
	struct arg_str *from = arg_str0(NULL, "from", "N", "generation");
	struct arg_str *due = arg_str0(NULL, "due", "SECONDS", "due time");
	struct arg_lit *json = arg_lit0(NULL, "json", "no progress, only JSON");
	struct arg_lit *wait = arg_lit0(NULL, "wait", "until the job ends");
	struct arg_lit *help = arg_lit0(NULL, "help", "show the flags");
	struct arg_str *operand = arg_str0(NULL, NULL, "FILE|ID", NULL);
	struct arg_end *end = arg_end(4);
	void *table[] = {
	    url, key, service, id, from, due, json, wait, help, operand, end};
	const char *env_url = getenv("SAVORYFLOW_URL");
	int errors = arg_parse(argc, argv, table);
	struct cli_flags flags = {
	    .client = {arg_text(url,
			   env_url != NULL ? env_url : "http://127.0.0.1:8080"),
		arg_text(key, getenv("SAVORYFLOW_KEY"))},
	    .service = arg_text(service, NULL),
	    .id = arg_text(id, NULL),
	    .from = arg_text(from, NULL),
	    .due = arg_text(due, NULL),
	    .is_json = json->count > 0,
	    .has_wait = wait->count > 0,
	    .operand = arg_text(operand, NULL),
	};
	int code = kCliUsage;

	if (help->count > 0) {
		printf("usage: savoryflow %s %s %s\n", cmd->name,
		    cmd->sub != NULL ? cmd->sub : "", cmd->usage);
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		code = kCliOk;
	} else if (errors > 0) {
		arg_print_errors(stderr, end, "savoryflow");
	} else {
		code = cmd->run(&flags);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}

static int
run_adapter(struct settings *set, const struct cli_adapter *adapters)
{
	for (const struct cli_adapter *a = adapters; a->name != NULL; a++)
		if (strcmp(a->name, set->adapter) == 0)
			return gateway_run(set, a->ops);
	fprintf(stderr, "savoryflow: --adapter: unknown adapter '%s'\n",
	    set->adapter);
	return kCliUsage;
}

static int
serve_main(int argc, char **argv, const struct cli_adapter *adapters)
{
	GError *err = NULL;
	struct settings *set;
	int code;

	for (int i = 0; i < argc; i++) {
		if (strcmp(argv[i], "--help") == 0) {
			printf("usage: savoryflow serve [SETTINGS]\n");
			settings_print_help(stdout);
			return kCliOk;
		}
	}
	set = settings_parse(argc, argv, environ, &err);
	if (set == NULL) {
		fprintf(stderr, "savoryflow: %s\n", err->message);
		g_error_free(err);
		return kCliUsage;
	}
	if (set->adapter[0] == '\0')
		code = daemon_run(set);
	else
		code = run_adapter(set, adapters);
	settings_free(set);
	return code;
}

int
cli_run(int argc, char **argv, const struct cli_adapter *adapters)
{
	const struct command *cmd;
	int nwords = 0;
	int code;

	if (argc < 2) {
		print_usage(stderr);
		return kCliUsage;
	}
	if (strcmp(argv[1], "--help") == 0) {
		print_usage(stdout);
		return kCliOk;
	}
	if (strcmp(argv[1], "--version") == 0) {
		printf("savoryflow %s\n", SAVORYFLOW_VERSION);
		return kCliOk;
	}
	if (strcmp(argv[1], "serve") == 0)
		return serve_main(argc - 2, argv + 2, adapters);
	cmd = command_find(argc, argv, &nwords);
	if (cmd == NULL) {
		fprintf(stderr, "savoryflow: no such command\n");
		print_usage(stderr);
		return kCliUsage;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	code = client_main(cmd, argc - nwords, argv + nwords);
	curl_global_cleanup();
	return code;
}

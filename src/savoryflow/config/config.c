/* Configuration generations and the holder of the one in force. */
#include "savoryflow/config/config.h"

#include <pthread.h>
#include <string.h>

#include "error/error.h"
#include "os/text_copy.h"
#include "savoryconf/savoryconf.h"

static const char *const section_names[] = {
    "services", "models", "targets", "teams"};

static char *
dup_field(const json_t *elem, const char *field)
{
	return g_strdup(json_string_value(json_object_get(elem, field)));
}

static int64_t
int_field(const json_t *elem, const char *field)
{
	return json_integer_value(json_object_get(elem, field));
}

static bool
bool_field(const json_t *elem, const char *field)
{
	return json_is_true(json_object_get(elem, field));
}

static void
service_free(void *p)
{
	struct config_service *svc = p;

	g_free(svc->name);
	g_ptr_array_unref(svc->targets);
	g_free(svc);
}

static void
target_free(void *p)
{
	struct config_target *target = p;

	g_free(target->name);
	g_free(target->url);
	g_free(target->region);
	g_free(target->data_center);
	g_free(target->model);
	g_free(target->model_version);
	g_free(target);
}

static void
team_free(void *p)
{
	struct config_team *team = p;

	g_free(team->name);
	g_free(team->key_sha256);
	g_free(team);
}

static void
read_services(struct config *cfg)
{
	const char *name;
	json_t *elem;

	json_object_foreach(json_object_get(cfg->doc, "services"), name, elem)
	{
		struct config_service *svc = g_new0(struct config_service, 1);

		svc->name = g_strdup(name);
		svc->is_engine =
		    strcmp(json_string_value(json_object_get(elem, "kind")),
			"engine") == 0;
		svc->idempotent = bool_field(elem, "idempotent");
		svc->tail_budget_us =
		    int_field(elem, "tail_budget_ms") * G_GINT64_CONSTANT(1000);
		svc->targets = g_ptr_array_new();
		g_hash_table_insert(cfg->services, svc->name, svc);
	}
}

static void
read_targets(struct config *cfg)
{
	const char *name;
	json_t *elem;

	json_object_foreach(json_object_get(cfg->doc, "targets"), name, elem)
	{
		struct config_target *target = g_new0(struct config_target, 1);
		const char *svc =
		    json_string_value(json_object_get(elem, "service"));

		target->name = g_strdup(name);
		target->url = dup_field(elem, "url");
		target->region = dup_field(elem, "region");
		target->data_center = dup_field(elem, "data_center");
		target->checks_fencing = bool_field(elem, "checks_fencing");
		target->slots = (int32_t)int_field(elem, "slots");
		target->service = g_hash_table_lookup(cfg->services, svc);
		g_ptr_array_add(target->service->targets, target);
		g_hash_table_insert(cfg->targets, target->name, target);
	}
}

static void
read_models(struct config *cfg)
{
	const char *name;
	json_t *elem;

	json_object_foreach(json_object_get(cfg->doc, "models"), name, elem)
	{
		struct config_service *svc = g_hash_table_lookup(cfg->services,
		    json_string_value(json_object_get(elem, "service")));

		for (guint i = 0; i < svc->targets->len; i++) {
			struct config_target *t = svc->targets->pdata[i];

			g_free(t->model);
			g_free(t->model_version);
			t->model = g_strdup(name);
			t->model_version = dup_field(elem, "version");
		}
	}
}

static void
read_teams(struct config *cfg)
{
	const char *name;
	json_t *elem;

	json_object_foreach(json_object_get(cfg->doc, "teams"), name, elem)
	{
		struct config_team *team = g_new0(struct config_team, 1);

		team->name = g_strdup(name);
		team->key_sha256 = dup_field(elem, "key_sha256");
		team->is_operator = bool_field(elem, "operator");
		team->rate_per_s = (int32_t)int_field(elem, "rate_per_s");
		team->concurrency = (int32_t)int_field(elem, "concurrency");
		team->weight = (int32_t)int_field(elem, "weight");
		g_hash_table_insert(cfg->teams, team->name, team);
		g_hash_table_insert(cfg->teams_by_key, team->key_sha256, team);
	}
}

struct config *
config_new(json_t *doc, int64_t generation, GError **err)
{
	struct config *cfg;
	GError *cause = NULL;

	if (!savoryconf_check(doc, &cause)) {
		g_set_error_literal(
		    err, SF_ERROR, kErrBadConfig, cause->message);
		g_error_free(cause);
		return NULL;
	}
	cfg = g_new0(struct config, 1);
	cfg->refs = 1;
	cfg->generation = generation;
	cfg->doc = json_incref(doc);
	config_digest(doc, cfg->digest);
	cfg->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	cfg->targets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, target_free);
	cfg->teams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_free);
	cfg->teams_by_key = g_hash_table_new(g_str_hash, g_str_equal);
	read_services(cfg);
	read_targets(cfg);
	read_models(cfg);
	read_teams(cfg);
	return cfg;
}

struct config *
config_ref(struct config *cfg)
{
	g_atomic_int_inc(&cfg->refs);
	return cfg;
}

void
config_unref(struct config *cfg)
{
	if (cfg == NULL || !g_atomic_int_dec_and_test(&cfg->refs))
		return;
	g_hash_table_unref(cfg->teams_by_key);
	g_hash_table_unref(cfg->teams);
	g_hash_table_unref(cfg->targets);
	g_hash_table_unref(cfg->services);
	json_decref(cfg->doc);
	g_free(cfg);
}

void
config_digest(const json_t *doc, char *digest)
{
	char *text = savoryconf_dump(doc);
	char *sum = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);

	text_copy_or_none(digest, 65, sum);
	g_free(sum);
	free(text);
}

static json_t *
diff_section(const json_t *from, const json_t *to)
{
	json_t *diff = json_object();
	const char *name;
	json_t *elem;

	json_object_foreach((json_t *)to, name, elem)
	{
		if (!json_equal(json_object_get(from, name), elem))
			json_object_set(diff, name, elem);
	}
	json_object_foreach((json_t *)from, name, elem)
	{
		if (json_object_get(to, name) == NULL)
			json_object_set_new(diff, name, json_null());
	}
	return diff;
}

json_t *
config_diff(const json_t *from, const json_t *to)
{
	json_t *diff = json_object();

	for (size_t i = 0; i < G_N_ELEMENTS(section_names); i++) {
		const char *name = section_names[i];
		json_t *part = diff_section(
		    json_object_get(from, name), json_object_get(to, name));

		if (json_object_size(part) > 0)
			json_object_set(diff, name, part);
		json_decref(part);
	}
	return diff;
}

static json_t *
apply_section(const json_t *from, const json_t *diff)
{
	json_t *map = json_copy((json_t *)from);
	const char *name;
	json_t *elem;

	json_object_foreach((json_t *)diff, name, elem)
	{
		if (json_is_null(elem))
			json_object_del(map, name);
		else
			json_object_set(map, name, elem);
	}
	return map;
}

json_t *
config_apply(const json_t *from, const json_t *diff)
{
	json_t *doc = json_object();
	json_t *empty = json_object();

	json_object_set_new(doc, "schema", json_integer(kSavoryconfSchema));
	for (size_t i = 0; i < G_N_ELEMENTS(section_names); i++) {
		const char *name = section_names[i];
		const json_t *map = json_object_get(from, name);

		json_object_set_new(doc, name,
		    apply_section(map != NULL ? map : empty,
			json_object_get(diff, name)));
	}
	json_decref(empty);
	return doc;
}

const struct config_team *
config_team_of_key(const struct config *cfg, const char *key)
{
	char *sum = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
	const struct config_team *team =
	    g_hash_table_lookup(cfg->teams_by_key, sum);

	g_free(sum);
	return team;
}

struct config_holder {
	pthread_mutex_t lock;
	struct config *current;
};

struct config_holder *
config_holder_new(void)
{
	struct config_holder *holder = g_new0(struct config_holder, 1);

	pthread_mutex_init(&holder->lock, NULL);
	return holder;
}

void
config_holder_free(struct config_holder *holder)
{
	config_unref(holder->current);
	pthread_mutex_destroy(&holder->lock);
	g_free(holder);
}

struct config *
config_holder_get(struct config_holder *holder)
{
	struct config *cfg;

	pthread_mutex_lock(&holder->lock);
	cfg = holder->current != NULL ? config_ref(holder->current) : NULL;
	pthread_mutex_unlock(&holder->lock);
	return cfg;
}

int64_t
config_holder_generation(struct config_holder *holder)
{
	int64_t generation;

	pthread_mutex_lock(&holder->lock);
	generation = holder->current != NULL ? holder->current->generation : 0;
	pthread_mutex_unlock(&holder->lock);
	return generation;
}

bool
config_holder_offer(struct config_holder *holder, struct config *cfg)
{
	struct config *old = NULL;
	bool newer;

	pthread_mutex_lock(&holder->lock);
	newer = holder->current == NULL ||
	    cfg->generation > holder->current->generation;
	if (newer) {
		old = holder->current;
		holder->current = config_ref(cfg);
	}
	pthread_mutex_unlock(&holder->lock);
	config_unref(old);
	return newer;
}

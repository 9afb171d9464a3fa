/* Builds and prints a configuration document. */
#include "savoryconf/savoryconf.h"

struct savoryconf {
	json_t *doc;
	GError *first_error;
};

GQuark
savoryconf_error_quark(void)
{
	return g_quark_from_static_string("savoryconf");
}

struct savoryconf *
savoryconf_new(void)
{
	struct savoryconf *sc = g_new0(struct savoryconf, 1);

	sc->doc = json_pack("{s:i,s:{},s:{},s:{},s:{}}", "schema",
	    kSavoryconfSchema, "services", "models", "targets", "teams");
	return sc;
}

void
savoryconf_free(struct savoryconf *sc)
{
	if (sc == NULL)
		return;
	json_decref(sc->doc);
	g_clear_error(&sc->first_error);
	g_free(sc);
}

static void
element_add(
    struct savoryconf *sc, const char *section, const char *name, json_t *elem)
{
	json_t *map = json_object_get(sc->doc, section);

	if (name != NULL && json_object_get(map, name) == NULL) {
		json_object_set_new(map, name, elem);
		return;
	}
	json_decref(elem);
	if (sc->first_error != NULL)
		return;
	if (name == NULL)
		g_set_error(&sc->first_error, SAVORYCONF_ERROR,
		    kSavoryconfErrName, "%s: an element has no name", section);
	else
		g_set_error(&sc->first_error, SAVORYCONF_ERROR,
		    kSavoryconfErrDuplicate, "%s: duplicate element %s",
		    section, name);
}

void
savoryconf_add_service(
    struct savoryconf *sc, const struct savoryconf_service *svc)
{
	json_t *elem = json_pack("{s:s,s:b,s:i}", "kind",
	    svc->kind == kSavoryconfPlain ? "plain" : "engine", "idempotent",
	    svc->idempotent || svc->kind == kSavoryconfEngine, "tail_budget_ms",
	    svc->tail_budget_ms);

	element_add(sc, "services", svc->name, elem);
}

void
savoryconf_add_model(
    struct savoryconf *sc, const struct savoryconf_model *model)
{
	json_t *elem = json_pack("{s:s?,s:s?}", "service", model->service,
	    "version", model->version);

	element_add(sc, "models", model->name, elem);
}

void
savoryconf_add_target(
    struct savoryconf *sc, const struct savoryconf_target *target)
{
	json_t *elem = json_pack("{s:s?,s:s?,s:s?,s:s?,s:b,s:i}", "url",
	    target->url, "service", target->service, "region", target->region,
	    "data_center", target->data_center, "checks_fencing",
	    target->checks_fencing, "slots", target->slots);

	element_add(sc, "targets", target->name, elem);
}

void
savoryconf_add_team(struct savoryconf *sc, const struct savoryconf_team *team)
{
	char *digest = g_compute_checksum_for_string(
	    G_CHECKSUM_SHA256, team->key != NULL ? team->key : "", -1);
	json_t *elem = json_pack("{s:s,s:b,s:i,s:i,s:i}", "key_sha256", digest,
	    "operator", team->is_operator, "rate_per_s", team->rate_per_s,
	    "concurrency", team->concurrency, "weight",
	    team->weight > 0 ? team->weight : 1);

	element_add(sc, "teams", team->name, elem);
	g_free(digest);
}

char *
savoryconf_dump(const json_t *doc)
{
	return json_dumps(doc, JSON_SORT_KEYS | JSON_INDENT(1));
}

char *
savoryconf_print(struct savoryconf *sc, GError **err)
{
	if (sc->first_error != NULL) {
		g_propagate_error(err, g_error_copy(sc->first_error));
		return NULL;
	}
	if (!savoryconf_check(sc->doc, err))
		return NULL;
	return savoryconf_dump(sc->doc);
}

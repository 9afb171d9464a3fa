/* Routing rules by host and path prefix. */
#include "savoryflow/routebook/routebook.h"

#include <string.h>

static void
share_clear(void *p)
{
	struct routebook_share *share = p;

	g_free(share->service);
}

static void
route_free(void *p)
{
	struct routebook_route *route = p;

	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_array_unref(route->shares);
	g_free(route);
}

static void
service_free(void *p)
{
	struct routebook_service *svc = p;

	g_free(svc->name);
	g_free(svc->health_path);
	g_free(svc);
}

static void
team_free(void *p)
{
	struct routebook_team *team = p;

	g_free(team->name);
	g_free(team);
}

struct routebook *
routebook_new(int64_t version)
{
	struct routebook *book = g_new0(struct routebook, 1);

	book->refs = 1;
	book->version = version;
	book->routes = g_ptr_array_new_with_free_func(route_free);
	book->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	return book;
}

struct routebook *
routebook_ref(struct routebook *book)
{
	if (book != NULL)
		g_atomic_int_inc(&book->refs);
	return book;
}

void
routebook_unref(struct routebook *book)
{
	if (book == NULL || !g_atomic_int_dec_and_test(&book->refs))
		return;
	g_ptr_array_unref(book->routes);
	g_hash_table_unref(book->services);
	if (book->teams != NULL)
		g_hash_table_unref(book->teams);
	team_keys_free(book->keys);
	g_free(book);
}

void
routebook_require_keys(struct routebook *book, const uint8_t *secret)
{
	book->teams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, team_free);
	book->keys = team_keys_new(secret);
}

struct routebook_team *
routebook_add_team(struct routebook *book, const char *name)
{
	struct routebook_team *team = g_hash_table_lookup(book->teams, name);

	if (team != NULL)
		return team;
	team = g_new0(struct routebook_team, 1);
	team->name = g_strdup(name);
	g_hash_table_insert(book->teams, team->name, team);
	return team;
}

const struct routebook_team *
routebook_team(const struct routebook *book, const char *name)
{
	return book->teams != NULL ? g_hash_table_lookup(book->teams, name)
				   : NULL;
}

struct routebook_route *
routebook_add_route(struct routebook *book)
{
	struct routebook_route *route = g_new0(struct routebook_route, 1);

	route->shares =
	    g_array_new(FALSE, TRUE, sizeof(struct routebook_share));
	g_array_set_clear_func(route->shares, share_clear);
	g_ptr_array_add(book->routes, route);
	return route;
}

void
routebook_add_share(
    struct routebook_route *route, const char *service, int32_t weight)
{
	struct routebook_share share = {g_strdup(service), weight};

	g_array_append_val(route->shares, share);
}

struct routebook_service *
routebook_add_service(struct routebook *book, const char *name)
{
	struct routebook_service *svc = g_new0(struct routebook_service, 1);

	svc->name = g_strdup(name);
	g_hash_table_replace(book->services, svc->name, svc);
	return svc;
}

struct routebook_claim
routebook_claim_of(const struct routebook *book,
    const struct routebook_route *route, const char *team)
{
	const struct routebook_team *t;
	struct routebook_claim claim = {0};

	if (book->teams == NULL)
		return claim;
	t = routebook_team(book, team);
	claim.priority = (uint32_t)MAX(
	    t != NULL && t->has_priority ? t->priority : route->priority, 0);
	if (t != NULL)
		claim.weight =
		    (uint32_t)CLAMP(t->rate_milli_per_s, 0, G_MAXINT32);
	return claim;
}

const struct routebook_route *
routebook_find(const struct routebook *book, const char *host, const char *path)
{
	const struct routebook_route *best = NULL;
	size_t best_len = 0;

	for (guint i = 0; i < book->routes->len; i++) {
		const struct routebook_route *route = book->routes->pdata[i];
		size_t len = strlen(route->prefix);

		if (len <= best_len || strcmp(route->host, host) != 0 ||
		    strncmp(path, route->prefix, len) != 0)
			continue;
		best = route;
		best_len = len;
	}
	return best;
}

const char *
routebook_pick_service(const struct routebook_route *route, uint64_t random)
{
	uint64_t sum = 0;
	uint64_t at;

	for (guint i = 0; i < route->shares->len; i++)
		sum += (uint64_t)g_array_index(
		    route->shares, struct routebook_share, i)
			   .weight;
	if (sum == 0)
		return g_array_index(route->shares, struct routebook_share, 0)
		    .service;
	at = random % sum;
	for (guint i = 0; i < route->shares->len; i++) {
		const struct routebook_share *share =
		    &g_array_index(route->shares, struct routebook_share, i);

		if (at < (uint64_t)share->weight)
			return share->service;
		at -= (uint64_t)share->weight;
	}
	return NULL;
}

bool
routebook_is_repeatable(const struct routebook_route *route)
{
	switch (route->kind) {
	case kRoutebookIdempotent:
	case kRoutebookBatch:
		return true;
	case kRoutebookStream:
		return route->is_resumable;
	case kRoutebookAtMostOnce:
		break;
	}
	return false;
}

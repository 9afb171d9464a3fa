/*
 * Cost of one decision against the number of targets and of teams. Prints
 * times; `make instructions` counts instructions and bounds their growth.
 */
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "os/clock.h"
#include "savoryflow/arbiter/arbiter.h"
#include "savoryflow/routing/routing.h"

enum {
	kSlotsPerTarget = 200,
};

static int32_t rounds = 20000;

static json_t *
make_config_document(int32_t targets)
{
	json_t *doc =
	    json_pack("{s:i,s:{s:{s:s,s:b,s:i}},s:{},s:{},s:{}}", "schema", 1,
		"services", "assistant", "kind", "engine", "idempotent", 1,
		"tail_budget_ms", 57, "models", "targets", "teams");
	json_t *map = json_object_get(doc, "targets");

	for (int32_t i = 0; i < targets; i++) {
		char name[32];
		char url[64];

		g_snprintf(name, sizeof(name), "target-%d", i);
		g_snprintf(url, sizeof(url), "http://127.0.0.1:%d", 1000 + i);
		json_object_set_new(map, name,
		    json_pack("{s:s,s:s,s:s,s:s,s:b,s:i}", "url", url,
			"service", "assistant", "region", "north",
			"data_center", "dc1", "checks_fencing", 0, "slots",
			kSlotsPerTarget));
	}
	return doc;
}

static void
print_time_per_round(const char *prefix, int32_t n, int64_t elapsed_us)
{
	char name[64];
	struct figure fig = {name, (double)elapsed_us * 1000 / MAX(rounds, 1),
	    "ns", kBoundNone, 0};

	g_snprintf(name, sizeof(name), "decision.%s%d", prefix, n);
	bench_print_figure(&fig);
}

static void
bench_choose_target(int32_t targets)
{
	struct routing_location location = {"north", "dc1"};
	struct routing *rt = routing_new(&location);
	GArray *daemons =
	    g_array_new(FALSE, TRUE, sizeof(struct routing_daemon));
	json_t *doc = make_config_document(targets);
	struct config *cfg = config_new(doc, 1, NULL);
	int64_t started_us;

	routing_rebuild(rt, cfg, daemons);
	started_us = clock_mono_us(clock_system());
	for (uint64_t i = 0; i < (uint64_t)rounds; i++) {
		struct routing_query query = {
		    "assistant", i * 0x9e3779b97f4a7c15U, 500, NULL, 1000000};

		routing_choose(rt, &query);
	}
	print_time_per_round("choose_target.targets", targets,
	    clock_mono_us(clock_system()) - started_us);
	config_unref(cfg);
	json_decref(doc);
	g_array_unref(daemons);
	routing_free(rt);
}

static struct admission_request
make_request(uint64_t id, int32_t i, int32_t teams)
{
	return (struct admission_request){
	    .id = id,
	    .work_class = kWorkBatch,
	    .prompt_tokens = 1,
	    .team = (uint64_t)(i % teams),
	    .weight = 1 + i % 5,
	    .due_us = INT64_MAX / 2,
	};
}

/* Batch requests of many teams are queued; each release grants the next one. */
static void
bench_grant(int32_t teams)
{
	struct arbiter_options opt = {
	    .cost = {15000, 150, 25000, 512, kSlotsPerTarget},
	    .tail_budget_us = 10000000,
	    .token_interval_us = 63000,
	    .online_queue_max = 1000,
	    .batch_queue_max = 100000,
	    .grant_lease_us = INT64_MAX / 4,
	};
	struct arbiter *arb = arbiter_new(&opt);
	GArray *out = arbiter_actions_new();
	uint64_t last_id = 0;
	int64_t started_us;

	for (int32_t i = 0; i < 3 * teams + kSlotsPerTarget; i++) {
		struct admission_request req =
		    make_request(++last_id, i, teams);

		arbiter_request(arb, &req, 1000000, out);
	}
	started_us = clock_mono_us(clock_system());
	for (int32_t i = 0; i < rounds; i++) {
		struct arbiter_action act =
		    g_array_index(out, struct arbiter_action, 0);
		struct admission_request req =
		    make_request(++last_id, i, teams);

		g_array_remove_index_fast(out, 0);
		arbiter_first_token(arb, act.id, 1000000, out);
		arbiter_release(arb, act.id, 1000000, out);
		arbiter_request(arb, &req, 1000000, out);
	}
	print_time_per_round("grant_batch.teams", teams,
	    clock_mono_us(clock_system()) - started_us);
	g_array_unref(out);
	arbiter_free(arb);
}

int
bench_repeat_decision(int argc, char **argv)
{
	int32_t n;

	if (argc != 4)
		return 2;
	n = (int32_t)g_ascii_strtoll(argv[2], NULL, 10);
	rounds = (int32_t)g_ascii_strtoll(argv[3], NULL, 10);
	if (strcmp(argv[1], "choose") == 0)
		bench_choose_target(n);
	else
		bench_grant(n);
	return 0;
}

void
bench_decision(void)
{
	static const int32_t targets[] = {10, 100, 600};
	static const int32_t teams[] = {10, 1000, 3200};

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++)
		bench_choose_target(targets[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(teams); i++)
		bench_grant(teams[i]);
}

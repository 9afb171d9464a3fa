/*
 * Benchmarks: figures of the decision modules in virtual time, and a load tool
 * for running daemons.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"

static bool failed;

static bool
is_known_red(const char *name)
{
	static char *text;

	if (text == NULL &&
	    !g_file_get_contents("KNOWN-RED.txt", &text, NULL, NULL))
		text = g_strdup("");
	return strstr(text, name) != NULL;
}

static bool
holds(const struct figure *fig)
{
	switch (fig->kind) {
	case kBoundAtMost:
		return fig->value <= fig->bound;
	case kBoundAtLeast:
		return fig->value >= fig->bound;
	case kBoundNone:
		break;
	}
	return true;
}

void
bench_print_figure(const struct figure *fig)
{
	bool ok = holds(fig);

	printf("figure %s %.4g %s", fig->name, fig->value, fig->unit);
	if (fig->kind != kBoundNone)
		printf(" bound %s %.4g %s",
		    fig->kind == kBoundAtMost ? "<=" : ">=", fig->bound,
		    ok ? "ok" : "RED");
	printf("\n");
	if (!ok && !is_known_red(fig->name))
		failed = true;
	fflush(stdout);
}

bool
bench_has_failed(void)
{
	return failed;
}

int
main(int argc, char **argv)
{
	const char *which = argc > 1 ? argv[1] : "all";
	bool all = strcmp(which, "all") == 0;

	if (strcmp(which, "load") == 0)
		return bench_load(argc - 1, argv + 1);
	if (strcmp(which, "one") == 0)
		return bench_repeat_decision(argc - 1, argv + 1);
	if (all || strcmp(which, "policy") == 0)
		bench_policy();
	if (all || strcmp(which, "membership") == 0)
		bench_membership();
	if (all || strcmp(which, "decision") == 0)
		bench_decision();
	return bench_has_failed() ? 1 : 0;
}

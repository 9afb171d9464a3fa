/* Runs that are lost with their target, and what their prompts consist of. */
#include "gateway/crash_guard.h"

#include <inttypes.h>
#include <string.h>

#include "gateway/connect_probe.h"
#include "log/log.h"

struct crash_guard {
	struct crash_guard_options opt;
	struct connect_probes *probes;
};

/** A lost run whose target is being probed. */
struct lost_run {
	struct crash_guard *cg;
	char request[kAttemptIdMax];
	char target[kFleetNameMax];
	struct prompt_parts parts;
	int64_t sent_us;
	int64_t ended_us;
};

struct crash_guard *
crash_guard_new(const struct crash_guard_options *opt)
{
	struct crash_guard *cg = g_new0(struct crash_guard, 1);

	cg->opt = *opt;
	cg->probes = connect_probes_new(opt->lp);
	return cg;
}

void
crash_guard_free(struct crash_guard *cg)
{
	connect_probes_free(cg->probes);
	g_free(cg);
}

static void
log_lost_run(const struct lost_run *lost, enum connect_result result)
{
	static const char *const result_names[] = {
	    [kConnectAccepted] = "no",
	    [kConnectRefused] = "yes",
	    [kConnectUnknown] = "unknown",
	};
	GString *parts = g_string_new(NULL);

	for (int32_t i = 0; i < lost->parts.count; i++)
		g_string_append_printf(
		    parts, "%s%" PRIx64, i > 0 ? "," : "", lost->parts.ids[i]);
	log_event(kEvtRunLost, "request", lost->request, "target", lost->target,
	    "target_ended", result_names[result], "parts", parts->str, "run_us",
	    log_number(lost->ended_us - lost->sent_us), NULL);
	g_string_free(parts, TRUE);
}

static void
on_probed(void *ctx, enum connect_result result)
{
	struct lost_run *lost = ctx;

	log_lost_run(lost, result);
	g_free(lost);
}

void
crash_guard_on_lost_run(struct crash_guard *cg, const char *request,
    const struct prompt_parts *parts, const struct relay_lost_run *run)
{
	struct lost_run *lost = g_new0(struct lost_run, 1);

	lost->cg = cg;
	lost->parts = *parts;
	lost->sent_us = run->sent_us;
	lost->ended_us = loop_now_us(cg->opt.lp);
	g_strlcpy(lost->request, request, sizeof(lost->request));
	g_strlcpy(lost->target, run->target, sizeof(lost->target));
	connect_probe_start(cg->probes, run->address, on_probed, lost);
}

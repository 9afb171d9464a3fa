#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

extern "C" {
#include "gateway/slots_internal.h"
}

namespace
{

const int64_t kMs = 1000;
const int64_t kSec = 1000 * kMs;

int64_t now_us;

timespec
FakeNow(void *ctx)
{
	return {(time_t)(now_us / kSec), (long)(now_us % kSec * 1000)};
}

const clock_ops fake_clock = {FakeNow, FakeNow, FakeNow};

/* Messages by receiver. */
struct Wire {
	std::map<std::string, int> reports;
	std::set<std::string> connected;
};

void
Send(void *ctx, const char *to, Sfpeer__Envelope *env)
{
	if (env->n_pool_loads > 0)
		((Wire *)ctx)->reports[to]++;
}

void
Connect(void *ctx, const char *to)
{
	((Wire *)ctx)->connected.insert(to);
}

const slots_wire_ops wire_ops = {Send, Connect, Connect};

/* An arbiter in a fleet of six data centres, with one target in each. */
struct ReportFleet {
	Wire wire;
	struct clock_source clk = {&fake_clock, nullptr};
	struct loop *lp;
	struct roster *ro;
	struct fleet *fl = fleet_new();
	struct slots *sl;

	explicit ReportFleet(int daemons)
	{
		now_us = kSec;
		lp = loop_new(&clk);
		roster_options opt = {Row(0), 60 * kSec, kSec};
		opt.self.cpu_millicores = 1000;
		ro = roster_new(&opt);
		AddRows(daemons);
		for (int i = 0; i < 6; i++)
			AddTarget(i);
		slots_options sopt = {
		    lp, ro, fl, "d0", "dc0", 7, &wire_ops, &wire};
		sl = slots_new(&sopt);
		slots_targets_changed(sl);
	}

	~ReportFleet()
	{
		slots_free(sl);
		fleet_free(fl);
		roster_free(ro);
		loop_free(lp);
	}

	static roster_row
	Row(int i)
	{
		roster_row row = {};

		g_snprintf(row.address, sizeof(row.address), "d%d", i);
		g_snprintf(row.session, sizeof(row.session), "s%d", i);
		g_snprintf(
		    row.data_center, sizeof(row.data_center), "dc%d", i % 6);
		g_strlcpy(row.region, "r", sizeof(row.region));
		row.version = i + 1;
		row.cpu_millicores = i < 6 ? 1000 : 120;
		return row;
	}

	void
	AddRows(int daemons)
	{
		GArray *rows = g_array_new(FALSE, TRUE, sizeof(roster_row));
		roster_changes changes = {
		    g_ptr_array_new_with_free_func(g_free),
		    g_ptr_array_new_with_free_func(g_free)};

		for (int i = 1; i < daemons; i++) {
			roster_row row = Row(i);

			g_array_append_val(rows, row);
		}
		roster_apply_rows(ro, rows, now_us, &changes);
		g_array_unref(rows);
		g_ptr_array_unref(changes.joined);
		g_ptr_array_unref(changes.removed);
	}

	void
	AddTarget(int i)
	{
		fleet_target t = {};

		g_snprintf(t.id, sizeof(t.id), "t%d", i);
		g_strlcpy(t.service, "llm", sizeof(t.service));
		g_snprintf(t.data_center, sizeof(t.data_center), "dc%d", i);
		t.slots = 8;
		t.version = 1;
		fleet_apply(fl, &t);
	}

	/* Messages in a time in which the load changes all the while. */
	int
	MessagesWhileBusy(int64_t span_us)
	{
		int n = 0;
		uint64_t id = 0;

		wire.reports.clear();
		for (int64_t end = now_us + span_us; now_us < end;
		     now_us += 25 * kMs) {
			slot_request req = {};

			req.id = ++id;
			req.deadline_us = now_us + kSec;
			slots_host_request(sl, &req, "llm", "dc0", NULL);
			slots_host_tick(sl, now_us);
			slots_host_release(
			    sl, "llm", "dc0", id - (id % 2), kSlotServed);
		}
		for (const auto &r : wire.reports)
			n += r.second;
		return n;
	}
};

TEST(SlotsReport, ASmallFleetIsReportedToDirectly)
{
	ReportFleet f(30);

	f.MessagesWhileBusy(5 * kSec);
	EXPECT_EQ(29u, f.wire.reports.size());
}

/* An arbiter's messages follow its data centre, not the fleet. */
TEST(SlotsReport, ALargeFleetIsReportedToByRelay)
{
	const struct {
		int daemons;
		int per_second_max;
	} cases[] = {{294, 215}, {600, 215}, {1200, 215}};

	for (const auto &c : cases) {
		ReportFleet f(c.daemons);
		int n = f.MessagesWhileBusy(10 * kSec);
		size_t near = (size_t)c.daemons / 6 - 1;

		EXPECT_LE(n / 10, c.per_second_max) << c.daemons;
		EXPECT_EQ(near + 5, f.wire.reports.size())
		    << "its data centre and five arbiters";
		for (int i = 1; i < 6; i++)
			EXPECT_GT(f.wire.reports["d" + std::to_string(i)], 9);
	}
}

/* A report of another data centre is passed on once, with its arbiter. */
TEST(SlotsReport, AReportFromAfarIsRelayedOnce)
{
	ReportFleet f(294);
	Sfpeer__Envelope env;
	Sfpeer__PoolLoad load;
	Sfpeer__PoolLoad *list[] = {&load};

	sfpeer__envelope__init(&env);
	sfpeer__pool_load__init(&load);
	load.service = (char *)"llm";
	load.data_center = (char *)"dc1";
	load.epoch = 5;
	load.slots = 8;
	env.from = (char *)"d1";
	env.n_pool_loads = 1;
	env.pool_loads = list;
	slots_on_envelope(f.sl, &env);
	EXPECT_TRUE(slots_view(f.sl, "llm", "dc1")->is_relay_due);
	f.MessagesWhileBusy(kSec);
	EXPECT_FALSE(slots_view(f.sl, "llm", "dc1")->is_relay_due);
	load.arbiter = (char *)"d1";
	env.from = (char *)"d6";
	slots_on_envelope(f.sl, &env);
	EXPECT_FALSE(slots_view(f.sl, "llm", "dc1")->is_relay_due)
	    << "passed on already";
}

} // namespace

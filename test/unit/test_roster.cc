#include <gtest/gtest.h>

#include <map>
#include <string>

extern "C" {
#include "gateway/roster.h"
#include "standin/memstore.h"
}

namespace
{

const int64_t kSec = 1000000;

struct Roster : ::testing::Test {
	struct roster *ro;
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(roster_row));
	roster_changes changes = {g_ptr_array_new_with_free_func(g_free),
	    g_ptr_array_new_with_free_func(g_free)};
	int64_t version = 0;

	Roster()
	{
		roster_options opt = {
		    Row("self", "dc1", "s0"), 4 * kSec, 3 * kSec / 2};

		ro = roster_new(&opt);
	}

	~Roster() override
	{
		roster_free(ro);
		g_array_unref(rows);
		g_ptr_array_unref(changes.joined);
		g_ptr_array_unref(changes.removed);
	}

	roster_row
	Row(const char *address, const char *dc, const char *session)
	{
		roster_row row = {};

		g_strlcpy(row.address, address, sizeof(row.address));
		g_strlcpy(row.front, address, sizeof(row.front));
		g_strlcpy(row.data_center, dc, sizeof(row.data_center));
		g_strlcpy(row.region, "north", sizeof(row.region));
		g_strlcpy(row.session, session, sizeof(row.session));
		row.version = ++version;
		return row;
	}

	/* Applies a roster of daemons: address to data centre and session. */
	void
	Apply(std::map<std::string, std::pair<std::string, std::string>> all,
	    int64_t now)
	{
		g_array_set_size(rows, 0);
		for (auto &d : all) {
			roster_row row = Row(d.first.c_str(),
			    d.second.first.c_str(), d.second.second.c_str());

			g_array_append_val(rows, row);
		}
		g_ptr_array_set_size(changes.joined, 0);
		g_ptr_array_set_size(changes.removed, 0);
		roster_apply_rows(ro, rows, now, &changes);
	}

	/* True if the daemon owns any of many keys. */
	bool
	OwnsAnyKey(const char *address, int64_t now)
	{
		for (int i = 0; i < 200; i++) {
			std::string key = "k" + std::to_string(i);

			if (strcmp(roster_owner(ro, key.c_str(), "dc1", now),
				address) == 0)
				return true;
		}
		return false;
	}
};

TEST_F(Roster, ADaemonIsAliveWhileItsRowChanges)
{
	Apply({{"a", {"dc1", "s1"}}}, 0);
	EXPECT_EQ(1u, changes.joined->len);
	EXPECT_TRUE(roster_is_session_alive(ro, "s1", 4 * kSec));
	EXPECT_FALSE(roster_is_session_alive(ro, "s1", 5 * kSec));
	EXPECT_TRUE(roster_is_session_alive(ro, "s0", 99 * kSec)) << "itself";
	EXPECT_FALSE(roster_is_session_alive(ro, "other", 0));
}

TEST_F(Roster, DaemonsLearnedFromAPeerChangeNoneThatAreKnown)
{
	const struct {
		const char *address;
		const char *session;
		const char *alive;
	} cases[] = {
	    {"a", "s9", "s1"},
	    {"b", "s2", "s2"},
	    {"self", "s8", "s0"},
	};

	Apply({{"a", {"dc1", "s1"}}}, 0);
	g_array_set_size(rows, 0);
	for (auto &c : cases) {
		roster_row row = Row(c.address, "dc1", c.session);

		row.version = 0;
		g_array_append_val(rows, row);
	}
	g_ptr_array_set_size(changes.joined, 0);
	roster_learn(ro, rows, kSec, &changes);
	ASSERT_EQ(1u, changes.joined->len);
	EXPECT_STREQ("b", (const char *)changes.joined->pdata[0]);
	for (auto &c : cases)
		EXPECT_TRUE(roster_is_session_alive(ro, c.alive, 2 * kSec))
		    << c.address;
	EXPECT_FALSE(roster_is_session_alive(ro, "s9", 2 * kSec));
	EXPECT_EQ(3, roster_count_all(ro, 2 * kSec));
}

/*
 * The heartbeat period grows with the number of daemons and stands in the row.
 * A fixed lease would expire between two heartbeats.
 */
TEST_F(Roster, TheLeaseFollowsTheHeartbeatPeriodOfTheRow)
{
	roster_row slow = Row("a", "dc1", "s1");

	slow.period_us = 3 * kSec;
	g_array_append_val(rows, slow);
	roster_apply_rows(ro, rows, 0, &changes);
	EXPECT_TRUE(roster_is_session_alive(ro, "s1", 11 * kSec));
	EXPECT_FALSE(roster_is_session_alive(ro, "s1", 13 * kSec));
}

TEST_F(Roster, HeartbeatRateStaysUnderHalfOfAPartitionsWrites)
{
	const struct {
		int32_t daemons;
		int64_t period_us;
	} cases[] = {
	    {1, kSec},
	    {100, kSec},
	    {300, 3 * kSec},
	    {380, 3800000},
	    {5000, 10 * kSec},
	};

	for (const auto &c : cases)
		EXPECT_EQ(c.period_us, roster_heartbeat_period_us(c.daemons))
		    << c.daemons;
}

TEST_F(Roster, ARestartEndsThePreviousSession)
{
	Apply({{"a", {"dc1", "s1"}}}, 0);
	Apply({{"a", {"dc1", "s2"}}}, kSec);
	EXPECT_EQ(1u, changes.removed->len);
	EXPECT_FALSE(roster_is_session_alive(ro, "s1", kSec));
	EXPECT_TRUE(roster_is_session_alive(ro, "s2", kSec));
}

TEST_F(Roster, AnExpiryIsReportedOnce)
{
	roster_row row = Row("a", "dc1", "s1");

	g_array_append_val(rows, row);
	roster_apply_rows(ro, rows, 0, &changes);
	roster_apply_rows(ro, rows, 5 * kSec, &changes);
	roster_apply_rows(ro, rows, 6 * kSec, &changes);
	EXPECT_EQ(1u, changes.removed->len);
}

/* While the store is unreachable, missing heartbeats must not expire leases. */
TEST_F(Roster, AnUnreachableStoreExtendsLeases)
{
	Apply({{"a", {"dc1", "s1"}}}, 0);
	for (int64_t now = 0; now < 20 * kSec; now += kSec)
		roster_on_store_unreachable(ro, now);
	EXPECT_TRUE(roster_is_session_alive(ro, "s1", 20 * kSec));
}

/* Guards against jobs of a dead daemon that no other takes over while the store
 * rejects some calls. */
TEST_F(Roster, ADeadDaemonsLeaseExpiresWhileTheStoreFailsNowAndThen)
{
	const struct {
		const char *name;
		/* Of so many reads, the first ones fail. */
		int reads;
		int failed;
		int64_t expires_s;
	} cases[] = {
	    {"none", 10, 0, 5},
	    {"one in ten", 10, 1, 10},
	    {"one in four", 4, 1, 10},
	    {"every other", 2, 1, 14},
	    {"three of four", 4, 3, 32},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		struct roster_options opt = {
		    Row("self", "dc1", "s0"), 4 * kSec, 3 * kSec / 2};
		int64_t now = 0;

		roster_free(ro);
		ro = roster_new(&opt);
		Apply({{"a", {"dc1", "s1"}}}, 0);
		for (int i = 0;
		     roster_is_session_alive(ro, "s1", now) && i < 100; i++) {
			now += kSec;
			if (i % c.reads < c.failed)
				roster_on_store_unreachable(ro, now);
			else
				roster_apply_rows(ro, rows, now, &changes);
		}
		EXPECT_GE(c.expires_s, now / kSec);
		EXPECT_LT(4, now / kSec);
	}
}

/* Its heartbeats may have failed as long as the reads here did. */
TEST_F(Roster, AfterEachOutageALiveDaemonHasItsWholeLease)
{
	int64_t now = 0;

	for (int outage = 0; outage < 3; outage++) {
		Apply({{"a", {"dc1", "s1"}}}, now += 3 * kSec);
		for (int i = 0; i < 20; i++)
			roster_on_store_unreachable(ro, now += kSec);
		roster_apply_rows(ro, rows, now += kSec, &changes);
		EXPECT_TRUE(roster_is_session_alive(ro, "s1", now + 3 * kSec));
	}
}

TEST_F(Roster, OwnersAreInTheDataCentreIfAnyIsAlive)
{
	Apply({{"a", {"dc1", "s1"}}, {"b", {"dc2", "s2"}}}, 0);
	EXPECT_TRUE(OwnsAnyKey("self", 0));
	EXPECT_TRUE(OwnsAnyKey("a", 0));
	EXPECT_FALSE(OwnsAnyKey("b", 0));
	EXPECT_STREQ("b", roster_owner(ro, "k", "dc2", 0));
	EXPECT_FALSE(OwnsAnyKey("a", 5 * kSec)) << "its lease has expired";
}

TEST_F(Roster, ASuspectIsExcludedUntilAMessageArrives)
{
	Apply({{"a", {"dc1", "s1"}}}, 0);
	roster_suspect(ro, "a", 3 * kSec);
	EXPECT_FALSE(OwnsAnyKey("a", kSec));
	roster_record_message(ro, "a", NULL, kSec);
	EXPECT_TRUE(OwnsAnyKey("a", kSec));
	roster_suspect(ro, "a", 3 * kSec);
	EXPECT_TRUE(OwnsAnyKey("a", 3 * kSec)) << "the suspicion has expired";
}

TEST_F(Roster, AFallbackArbiterIsNotTheElectedOwner)
{
	Apply({{"a", {"dc1", "s1"}}}, 0);
	roster_suspect(ro, "a", 3 * kSec);
	int elected = 0;

	for (int i = 0; i < 200; i++) {
		std::string key = "k" + std::to_string(i);

		EXPECT_STREQ(
		    "self", roster_owner(ro, key.c_str(), "dc1", kSec));
		elected +=
		    roster_is_elected_owner(ro, key.c_str(), "dc1", kSec);
	}
	EXPECT_GT(elected, 50);
	EXPECT_LT(elected, 150);
}

/* A daemon whose lease has expired may merely be cut off from the store. */
TEST_F(Roster, ADaemonThatSendsMessagesArbitratesWithoutALease)
{
	Apply({{"a", {"dc1", "s1"}}}, 0);
	roster_record_message(ro, "a", NULL, 9 * kSec);
	EXPECT_TRUE(OwnsAnyKey("a", 10 * kSec));
	EXPECT_FALSE(roster_is_session_alive(ro, "s1", 10 * kSec));
	EXPECT_FALSE(OwnsAnyKey("a", 11 * kSec));
}

TEST_F(Roster, ALeavingDaemonDoesNotArbitrate)
{
	Apply({{"a", {"dc1", "s1"}}}, 0);
	roster_record_leaving(ro, "a");
	EXPECT_FALSE(OwnsAnyKey("a", 0));
	EXPECT_TRUE(roster_is_session_alive(ro, "s1", 0))
	    << "until its row is removed";
	roster_leave(ro);
	EXPECT_TRUE(OwnsAnyKey("self", 0)) << "no other daemon";
	Apply({{"a", {"dc1", "s2"}}}, kSec);
	EXPECT_FALSE(OwnsAnyKey("self", kSec));
}

TEST_F(Roster, ADaemonThatHasLeftIsStillNotified)
{
	Apply({{"a", {"dc1", "s1"}}}, 0);
	Apply({}, kSec);
	EXPECT_EQ(1u, changes.removed->len);
	EXPECT_FALSE(roster_is_session_alive(ro, "s1", kSec));
	EXPECT_FALSE(OwnsAnyKey("a", kSec));
	GPtrArray *peers = roster_peers(ro, NULL, kSec);
	EXPECT_EQ(1u, peers->len);
	g_ptr_array_unref(peers);
	Apply({}, 10 * kSec);
	EXPECT_EQ(0u, changes.removed->len) << "reported once";
	peers = roster_peers(ro, NULL, 10 * kSec);
	EXPECT_EQ(0u, peers->len);
	g_ptr_array_unref(peers);
}

TEST_F(Roster, ThePeerWithTheLatestStoreAnswerIsChosen)
{
	roster_store_status old_status = {false, 2 * kSec};
	roster_store_status new_status = {false, kSec / 10};
	roster_store_status unreachable = {true, kSec / 10};

	EXPECT_EQ(nullptr, roster_front_reaching_store(ro, "", 0));
	Apply({{"a", {"dc1", "s1"}}, {"b", {"dc1", "s2"}},
		  {"far", {"dc2", "s3"}}},
	    0);
	roster_record_message(ro, "a", &old_status, kSec);
	roster_record_message(ro, "b", &new_status, kSec);
	roster_record_message(ro, "far", &new_status, kSec);
	EXPECT_STREQ("b", roster_front_reaching_store(ro, "", kSec));
	EXPECT_STREQ("a", roster_front_reaching_store(ro, "b", kSec))
	    << "b did not answer";
	roster_record_message(ro, "b", &unreachable, kSec);
	EXPECT_STREQ("a", roster_front_reaching_store(ro, "", kSec));
	roster_record_message(ro, "a", &unreachable, kSec);
	EXPECT_STREQ("far", roster_front_reaching_store(ro, "", kSec));
}

/* A machine with a quarter of the processor time must not serve all others. */
TEST_F(Roster, RolesGoToTheDaemonsWithTheMostCapacity)
{
	const struct {
		const char *address;
		int32_t cpu_millicores;
		bool owns;
	} cases[] = {{"large1", 500, true}, {"large2", 500, true},
	    {"middle", 250, true}, {"small1", 120, false},
	    {"small2", 120, false}};

	for (const auto &c : cases) {
		roster_row row = Row(c.address, "dc1", c.address);

		row.cpu_millicores = c.cpu_millicores;
		g_array_append_val(rows, row);
	}
	roster_apply_rows(ro, rows, 0, &changes);
	for (const auto &c : cases)
		EXPECT_EQ(c.owns, OwnsAnyKey(c.address, 0)) << c.address;
	EXPECT_FALSE(OwnsAnyKey("self", 0)) << "its capacity is unknown";
	for (const char *large : {"large1", "large2", "middle"})
		roster_suspect(ro, large, kSec);
	EXPECT_TRUE(OwnsAnyKey("small1", 0)) << "the larger ones are silent";
}

/* What neighbours say keeps a daemon eligible, but a daemon that did not answer
 * this one stays suspected. */
TEST_F(Roster, ContactsKeepADaemonEligibleWithoutALease)
{
	contact heard = {};

	Apply({{"a", {"dc1", "s1"}}}, 0);
	heard.session = roster_session_hash("s1");
	heard.beat_us = 9 * kSec;
	roster_record_contact(ro, &heard);
	EXPECT_TRUE(OwnsAnyKey("a", 10 * kSec));
	EXPECT_FALSE(OwnsAnyKey("a", 11 * kSec));
	roster_suspect(ro, "a", 20 * kSec);
	heard.beat_us = 12 * kSec;
	roster_record_contact(ro, &heard);
	EXPECT_FALSE(OwnsAnyKey("a", 12 * kSec)) << "not heard directly";
	roster_record_message(ro, "a", NULL, 12 * kSec);
	EXPECT_TRUE(OwnsAnyKey("a", 12 * kSec));
	heard.is_leaving = true;
	heard.beat_us = 13 * kSec;
	roster_record_contact(ro, &heard);
	EXPECT_FALSE(OwnsAnyKey("a", 13 * kSec));
	EXPECT_STREQ("a", roster_session_address(ro, "s1"));
	EXPECT_EQ(nullptr, roster_session_address(ro, "unknown"));
}

/* Its row was written, but the answer was lost: it has had none so far. */
TEST_F(Roster, ADaemonThatNeverHeardTheStoreIsNotTakenToReachIt)
{
	contact heard = {};

	Apply({{"a", {"dc1", "s1"}}}, 0);
	heard.session = roster_session_hash("s1");
	heard.beat_us = kSec;
	roster_record_contact(ro, &heard);
	EXPECT_STREQ("a", roster_front_reaching_store(ro, "", kSec))
	    << "nothing is known";
	heard.is_store_unreachable = true;
	roster_record_contact(ro, &heard);
	EXPECT_EQ(nullptr, roster_front_reaching_store(ro, "", kSec));
	for (const char *key : {"k0", "k1", "k2", "k3", "k4", "k5", "k6"})
		EXPECT_STREQ(
		    "self", roster_owner_reaching_store(ro, key, kSec));
	heard.is_store_unreachable = false;
	heard.store_answered_us = kSec;
	roster_record_contact(ro, &heard);
	EXPECT_STREQ("a", roster_front_reaching_store(ro, "", kSec));
}

TEST_F(Roster, RolesThatNeedTheStoreGoToDaemonsThatReachIt)
{
	roster_store_status cut_off = {true, kSec};
	int own = 0;

	Apply({{"a", {"dc1", "s1"}}, {"b", {"dc2", "s2"}}}, 0);
	roster_record_message(ro, "a", &cut_off, 0);
	for (int i = 0; i < 100; i++) {
		std::string key = "k" + std::to_string(i);
		const char *owner =
		    roster_owner_reaching_store(ro, key.c_str(), 0);

		EXPECT_STRNE("a", owner);
		own += strcmp("self", owner) == 0;
	}
	EXPECT_GT(own, 20);
	EXPECT_LT(own, 80);
	roster_set_store_status(ro, true);
	EXPECT_STREQ("b", roster_owner_reaching_store(ro, "k", 0));
}

TEST_F(Roster, RowsWithoutHeartbeatsBecomeStale)
{
	roster_row row = Row("a", "dc1", "s1");
	GArray *stale;

	g_array_append_val(rows, row);
	roster_apply_rows(ro, rows, 0, &changes);
	stale = roster_stale(ro, 60 * kSec, 60 * kSec);
	EXPECT_EQ(0u, stale->len);
	g_array_unref(stale);
	stale = roster_stale(ro, 60 * kSec, 61 * kSec);
	ASSERT_EQ(1u, stale->len);
	EXPECT_STREQ("a", g_array_index(stale, roster_row, 0).address);
	g_array_unref(stale);
}

TEST_F(Roster, RowsRoundTripThroughTheStore)
{
	struct memstore *ms = memstore_new();
	struct store *st = memstore_store(ms);
	roster_row self = Row("10.0.0.1:9", "dc1", "s7");
	GArray *read = nullptr;

	self.cpu_millicores = 250;
	ASSERT_EQ(kStoreOk, roster_store_heartbeat(st, &self, 1));
	ASSERT_EQ(kStoreOk, roster_store_read(st, &read));
	ASSERT_EQ(1u, read->len);
	auto &row = g_array_index(read, roster_row, 0);
	EXPECT_STREQ("10.0.0.1:9", row.address);
	EXPECT_STREQ("s7", row.session);
	EXPECT_EQ(250, row.cpu_millicores);
	int64_t before = row.version;
	g_array_unref(read);
	roster_store_heartbeat(st, &self, 2);
	roster_store_read(st, &read);
	EXPECT_GT(g_array_index(read, roster_row, 0).version, before);
	g_array_unref(read);
	ASSERT_EQ(kStoreOk, roster_store_leave(st, &self));
	roster_store_read(st, &read);
	EXPECT_EQ(0u, read->len);
	g_array_unref(read);
	memstore_free(ms);
}

} // namespace

/* What a pool learns of its targets, and the choice of a target by it. */
#include "unit/slotpool_fixture.h"

extern "C" {
#include "savoryflow/slotpool/kept_parts.h"
#include "savoryflow/slotpool/target_pace.h"
}

namespace
{

constexpr int64_t kMs = SlotpoolFixture::kMs;
constexpr int64_t kSec = SlotpoolFixture::kSec;

slot_parts
Parts(const std::vector<uint64_t> &keys, int32_t tokens = 200)
{
	slot_parts parts = {};

	for (uint64_t key : keys) {
		parts.keys[parts.count] = key;
		parts.tokens[parts.count++] = tokens;
	}
	return parts;
}

/* A part counts as kept that no target has, or one that is kept does not. */
TEST(KeptParts, ThePartsAtTheBeginningThatWereSentAreKept)
{
	const struct {
		std::vector<std::vector<uint64_t>> sent;
		std::vector<uint64_t> wanted;
		int32_t kept;
	} cases[] = {
	    {{}, {1}, 0},
	    {{{1}}, {1}, 200},
	    {{{1}}, {2}, 0},
	    {{{1}}, {}, 0},
	    {{{1, 12}}, {1, 12}, 400},
	    {{{1, 12}}, {1, 13}, 200},
	    /* Useless without the part before it. */
	    {{{2, 12}}, {1, 12}, 0},
	    {{{1, 12}, {1, 13}}, {1, 13}, 400},
	};

	for (const auto &c : cases) {
		kept_parts *kp = kept_parts_new();
		slot_parts wanted = Parts(c.wanted);

		for (const auto &s : c.sent) {
			slot_parts parts = Parts(s);

			kept_parts_record(kp, &parts, 1);
		}
		EXPECT_EQ(c.kept, kept_parts_find(kp, &wanted));
		kept_parts_clear(kp);
		EXPECT_EQ(0, kept_parts_find(kp, &wanted));
		kept_parts_free(kp);
	}
}

/* The record grows beyond what a target's memory can hold. */
TEST(KeptParts, TheLeastRecentlyUsedPartsAreEvicted)
{
	const struct {
		int32_t tokens;
		int32_t runs;
		int kept;
	} cases[] = {
	    {10000, 0, 14},
	    {10000, 8, 14},
	    {10000, 100, 9},
	    {10000, 1000, 0},
	    {200, 0, 736},
	    /* Bounded by number. */
	    {1, 0, 1024},
	};

	for (const auto &c : cases) {
		kept_parts *kp = kept_parts_new();
		const uint64_t n = 2000;
		int kept = 0;

		for (uint64_t key = 1; key <= n; key++) {
			slot_parts parts = Parts({key}, c.tokens);

			kept_parts_record(kp, &parts, c.runs);
		}
		for (uint64_t key = 1; key <= n; key++) {
			slot_parts parts = Parts({key}, c.tokens);
			bool is_kept = kept_parts_find(kp, &parts) > 0;

			kept += is_kept;
			EXPECT_EQ(key + (uint64_t)c.kept > n, is_kept) << key;
		}
		EXPECT_EQ(c.kept, kept);
		kept_parts_free(kp);
	}
}

TEST(KeptParts, APartInUseIsNotEvicted)
{
	kept_parts *kp = kept_parts_new();
	slot_parts used = Parts({1}, 1000);

	for (uint64_t key = 2; key <= 1000; key++) {
		slot_parts other = Parts({key}, 1000);

		kept_parts_record(kp, &used, 1);
		kept_parts_record(kp, &other, 1);
	}
	EXPECT_EQ(1000, kept_parts_find(kp, &used));
	kept_parts_free(kp);
}

/* Noise, old news or a single short answer move load between like targets. */
TEST(TargetPace, OnlyARecentClearDifferenceCounts)
{
	const struct {
		const char *what;
		std::vector<int64_t> pace_us;
		int32_t events;
		int64_t age_us;
		int64_t factor;
	} cases[] = {
	    {"nothing known", {}, 10, 0, 1000},
	    {"two runs", {9000, 9000}, 10, 0, 1000},
	    {"slow", {9000, 9000, 9000}, 10, 0, 3000},
	    {"fast", {1500, 1500, 1500}, 10, 0, 500},
	    {"usual", {3000, 3000, 3000}, 10, 0, 1000},
	    {"within a quarter", {3600, 3600, 3600}, 10, 0, 1000},
	    {"few events", {9000, 9000, 9000}, 3, 0, 1000},
	    {"unknown", {0, 0, 0}, 10, 0, 1000},
	    {"within the spread", {1000, 9000, 1000, 9000}, 10, 0, 1000},
	    {"bounded", {90000, 90000, 90000}, 10, 0, 4000},
	    {"old", {9000, 9000, 9000}, 10, 11 * kSec, 1000},
	    {"not old yet", {9000, 9000, 9000}, 10, 9 * kSec, 3000},
	};

	for (const auto &c : cases) {
		target_pace tp = {};

		for (int64_t us : c.pace_us) {
			slot_run_times run = {0, us, c.events};

			target_pace_record(&tp, &run, kSec);
		}
		EXPECT_EQ(
		    c.factor, target_pace_factor(&tp, 3000, kSec + c.age_us))
		    << c.what;
	}
}

struct SlotChoice : SlotpoolFixture {
	/* A request that starts and stays, and where. */
	std::string
	Place(uint64_t id, const std::vector<uint64_t> &keys,
	    bool is_batch = false)
	{
		slot_request req = Request(id, is_batch, now + 10 * kSec, 1);

		req.parts = Parts(keys);
		slotpool_request(sp, &req, now, out);
		return TakeActions()[id].target;
	}

	/* Runs of each target with a time between events. */
	void
	Learn(const std::map<std::string, int64_t> &pace_us)
	{
		uint64_t id = 1000000;

		for (int i = 0; i < 4; i++)
			for (const auto &p : pace_us) {
				slot_request req =
				    Request(++id, false, now + kSec, 1);
				slot_run_times run = {5 * kMs, p.second, 50};

				slotpool_adopt(sp, &req, p.first.c_str(), now);
				slotpool_record_run(sp, id, &run, now);
				Release(id);
			}
	}
};

/* Of near-equal targets the one that keeps the prompt is chosen, but a hot part
 * does not fill one target while others are idle. */
TEST_F(SlotChoice, KeptPartsOffsetHalfTheSlots)
{
	std::map<std::string, int> used;

	Targets({{"a", 8}, {"b", 8}});
	for (uint64_t id = 1; id <= 4; id++)
		used[Place(id, {7, 71})]++;
	EXPECT_EQ(1u, used.size()) << "kept there";
	for (uint64_t id = 5; id <= 16; id++)
		used[Place(id, {7, 71})]++;
	EXPECT_EQ(8, used["a"]);
	EXPECT_EQ(8, used["b"]);
}

TEST_F(SlotChoice, TheTargetThatKeepsMoreIsChosen)
{
	Targets({{"a", 8}, {"b", 8}, {"c", 8}});
	std::string first = Place(1, {7, 71});
	std::string second = Place(2, {8, 81});
	std::string third = Place(3, {9, 91});

	EXPECT_NE(first, second);
	EXPECT_NE(second, third);
	EXPECT_EQ(first, Place(4, {7, 72})) << "keeps the first part";
	EXPECT_EQ(second, Place(5, {8, 81}));
	EXPECT_EQ(third, Place(6, {9, 91}, true)) << "items, too";
}

TEST_F(SlotChoice, AFastTargetIsChosenAndLeftFreeByItems)
{
	Targets({{"fast", 8}, {"mid", 8}, {"slow", 8}});
	Learn({{"fast", 1500}, {"mid", 3000}, {"slow", 6000}});
	EXPECT_EQ("slow", Place(1, {}, true));
	EXPECT_EQ("fast", Place(2, {}));
	now += 20 * kSec;
	EXPECT_EQ("mid", Place(3, {})) << "what was learned is too old";
}

/* Learned speeds would otherwise change the choice of like targets. */
TEST_F(SlotChoice, LikeTargetsAreChosenAsWithoutLearning)
{
	Targets({{"a", 8}, {"b", 8}, {"c", 8}});
	std::vector<std::string> before;
	std::vector<std::string> after;

	for (uint32_t holder = 1; holder <= 20; holder++)
		before.push_back(Served(holder, holder));
	Learn({{"a", 2900}, {"b", 3000}, {"c", 3300}});
	for (uint32_t holder = 1; holder <= 20; holder++)
		after.push_back(Served(100 + holder, holder));
	EXPECT_EQ(before, after);
}

TEST_F(SlotChoice, ATargetThatStartsAnewIsNotKnown)
{
	Targets({{"a", 8}, {"b", 8}});
	Learn({{"a", 1500}, {"b", 6000}});
	EXPECT_EQ("a", Place(1, {7}));
	Release(1);
	for (auto &t : targets)
		t.started_ms = 1;
	GPtrArray *list = g_ptr_array_new();
	for (auto &t : targets)
		g_ptr_array_add(list, &t);
	slotpool_set_targets(sp, list, now, out);
	g_ptr_array_unref(list);
	std::map<std::string, int> used;
	for (uint32_t holder = 1; holder <= 20; holder++)
		used[Served(100 + holder, holder)]++;
	EXPECT_EQ(2u, used.size());
	slot_request other = Request(500, false, now + kSec, 1);
	slotpool_adopt(sp, &other, "a", now);
	EXPECT_EQ("b", Place(501, {7})) << "a has lost the part";
}

} // namespace

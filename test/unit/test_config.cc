#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "error/error.h"
#include "savoryconf/savoryconf.h"
#include "savoryflow/config/config.h"
#include "savoryflow/config/config_store.h"
#include "standin/memstore.h"
}
#include "unit/fixtures.h"

namespace
{

json_t *
Edited(const char *path, const char *json)
{
	json_t *doc = SmallDocument(1);
	json_t *at = doc;
	char **parts = g_strsplit(path, ".", -1);
	int n = (int)g_strv_length(parts);

	for (int i = 0; i < n - 1; i++)
		at = json_object_get(at, parts[i]);
	if (json[0] == '\0')
		json_object_del(at, parts[n - 1]);
	else
		json_object_set_new(at, parts[n - 1],
		    json_loads(json, JSON_DECODE_ANY, nullptr));
	g_strfreev(parts);
	return doc;
}

TEST(Savoryconf, BadDocuments)
{
	const struct {
		const char *path;
		const char *json;
		const char *mentions;
	} cases[] = {
	    {"schema", "2", "schema"},
	    {"services", "", "services"},
	    {"services.assistant.kind", "\"motor\"", "motor"},
	    {"services.assistant.tail_budget_ms", "-1", "tail_budget_ms"},
	    {"services.assistant.tail_budget_ms", "10001", "10000"},
	    {"services.assistant.idempotent", "1", "idempotent"},
	    {"services.assistant.color", "1", "services.assistant"},
	    {"services.bad name", "{}", "bad name"},
	    {"targets.engine-1.service", "\"nobody\"", "nobody"},
	    {"targets.engine-1.url", "\"ftp://x\"", "ftp://x"},
	    {"targets.engine-1.slots", "0", "slots"},
	    {"teams.students.key_sha256", "\"short\"", "key_sha256"},
	    {"teams.students.weight", "0", "weight"},
	};

	for (const auto &c : cases) {
		json_t *doc = Edited(c.path, c.json);
		GError *err = nullptr;

		EXPECT_FALSE(savoryconf_check(doc, &err)) << c.path;
		ASSERT_NE(nullptr, err) << c.path;
		EXPECT_NE(nullptr, strstr(err->message, c.mentions))
		    << err->message;
		g_error_free(err);
		json_decref(doc);
	}
}

TEST(Savoryconf, PrintsAndReportsDuplicates)
{
	struct savoryconf *sc = savoryconf_new();
	struct savoryconf_service svc = {
	    "assistant", kSavoryconfEngine, true, 57};
	GError *err = nullptr;
	char *first;

	savoryconf_add_service(sc, &svc);
	first = savoryconf_print(sc, &err);
	ASSERT_NE(nullptr, first);
	EXPECT_NE(nullptr, strstr(first, "\"schema\": 1"));
	free(first);
	savoryconf_add_service(sc, &svc);
	EXPECT_EQ(nullptr, savoryconf_print(sc, &err));
	ASSERT_NE(nullptr, err);
	EXPECT_EQ(kSavoryconfErrDuplicate, err->code);
	g_error_free(err);
	savoryconf_free(sc);
}

TEST(Config, DiffAndApplyAreInverse)
{
	json_t *a = SmallDocument(1);
	json_t *b = Edited("teams.students.weight", "7");
	json_t *c = Edited("teams.students", "");
	json_t *docs[] = {nullptr, a, b, c};

	for (json_t *from : docs) {
		for (json_t *to : docs) {
			if (to == nullptr)
				continue;
			json_t *diff = config_diff(from, to);
			json_t *got = config_apply(from, diff);

			EXPECT_TRUE(json_equal(got, to));
			json_decref(diff);
			json_decref(got);
		}
	}
	json_decref(a);
	json_decref(b);
	json_decref(c);
}

TEST(Config, HolderNeverGoesDown)
{
	struct config_holder *holder = config_holder_new();
	json_t *doc = SmallDocument(1);
	const struct {
		int64_t offered;
		bool is_accepted;
		int64_t in_force;
	} cases[] = {{3, true, 3}, {2, false, 3}, {3, false, 3}, {4, true, 4},
	    {1, false, 4}};

	for (const auto &c : cases) {
		struct config *cfg = config_new(doc, c.offered, nullptr);

		EXPECT_EQ(c.is_accepted, config_holder_offer(holder, cfg));
		EXPECT_EQ(c.in_force, config_holder_generation(holder));
		config_unref(cfg);
	}
	json_decref(doc);
	config_holder_free(holder);
}

struct ConfigStore : ::testing::Test {
	struct memstore *ms = memstore_new();
	struct store *store = memstore_store(ms);

	~ConfigStore() override
	{
		memstore_free(ms);
	}

	int
	Submit(int weight, int64_t from, const char *author = "ops")
	{
		json_t *doc = SmallDocument(weight);
		struct config_submission sub = {doc, from, author, weight};
		GError *err = nullptr;
		struct config *cfg = config_store_submit(store, &sub, &err);
		int code = cfg != nullptr ? -1 : err->code;

		g_clear_error(&err);
		config_unref(cfg);
		json_decref(doc);
		return code;
	}
};

TEST_F(ConfigStore, OneOfTwoConcurrentSubmissionsWins)
{
	EXPECT_EQ(-1, Submit(1, 0));
	EXPECT_EQ(-1, Submit(2, 1, "first"));
	EXPECT_EQ(kErrConflict, Submit(3, 1, "second"));
}

TEST_F(ConfigStore, AmbiguousCommitIsResolved)
{
	struct memstore_faults lost_answer = {false, 1, 0};
	struct memstore_faults lost_request = {false, 0, 1};
	struct memstore_faults all_requests_lost = {false, 0, 10};
	struct memstore_faults outage = {true, 0, 0};

	EXPECT_EQ(-1, Submit(1, 0));
	memstore_set_faults(ms, &lost_answer);
	EXPECT_EQ(-1, Submit(2, 1));
	memstore_set_faults(ms, &lost_request);
	EXPECT_EQ(-1, Submit(3, 2));
	memstore_set_faults(ms, &all_requests_lost);
	EXPECT_EQ(kErrStoreAmbiguous, Submit(4, 3));
	memstore_set_faults(ms, &outage);
	EXPECT_EQ(kErrStoreUnavailable, Submit(4, 3));
}

TEST_F(ConfigStore, FollowerAppliesDiffsOrTheFullDocument)
{
	struct config_holder *fresh = config_holder_new();
	struct config_holder *follower = config_holder_new();
	struct config *cfg;

	EXPECT_EQ(-1, Submit(1, 0));
	EXPECT_TRUE(config_store_catch_up(store, follower, nullptr));
	for (int i = 1; i < 5; i++) {
		EXPECT_EQ(-1, Submit(1 + i, i));
		EXPECT_TRUE(config_store_catch_up(store, follower, nullptr));
	}
	EXPECT_TRUE(config_store_catch_up(store, fresh, nullptr));
	EXPECT_EQ(5, config_holder_generation(follower));
	EXPECT_EQ(5, config_holder_generation(fresh));
	cfg = config_holder_get(follower);
	struct config *other = config_holder_get(fresh);
	EXPECT_STREQ(cfg->digest, other->digest);
	config_unref(other);
	config_unref(cfg);
	config_holder_free(fresh);
	config_holder_free(follower);
}

TEST_F(ConfigStore, HistoryReturnsTheAuditRows)
{
	json_t *list;

	EXPECT_EQ(-1, Submit(1, 0, "anna"));
	EXPECT_EQ(-1, Submit(2, 1, "luis"));
	list = config_store_history(store, 0, 10, nullptr);
	ASSERT_EQ(2u, json_array_size(list));
	EXPECT_STREQ("luis",
	    json_string_value(json_object_get(json_array_get(list, 1), "who")));
	EXPECT_EQ(1u,
	    json_object_size(json_object_get(json_array_get(list, 1), "diff")));
	json_decref(list);
}

} // namespace

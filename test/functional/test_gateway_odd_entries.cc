/* Rows of other writers that stand among those of workers, jobs and daemons. */
#include "functional/gateway_fixture.h"
#include "nested_text.h"

namespace
{

const int kCalls = 10;

std::string
Objects(int levels)
{
	return NestedText("{\"a\":", "1", "}", levels);
}

std::string
Arrays(int levels)
{
	return NestedText("[", "1", "]", levels);
}

/* In place of a text in the store's answers, with its quotes. */
std::string
Raw(const std::string &bytes)
{
	char *b64 = g_base64_encode((const guchar *)bytes.data(), bytes.size());
	std::string text = std::string("raw:") + b64;

	g_free(b64);
	return text;
}

struct Entry {
	std::string name;
	std::string key;
	std::string value;
};

std::string
SoundFields(const std::string &more)
{
	return R"({"service":"llm","addr":"127.0.0.1:1","zone":"dc1",
	    "version":"v","slot_count":4,"state":"ready","cold_left_ms":0,
	    "sequence":1,"born":1,)" +
	    more + "}";
}

/* The store takes values of up to 64 KiB. */
const Entry kNested[] = {
    {"objects 500", "o", Objects(500)},
    {"objects 1500", "o", Objects(1500)},
    {"objects 2000", "o", Objects(2000)},
    {"objects 2047", "o", Objects(2047)},
    {"objects 2048", "o", Objects(2048)},
    {"objects 8000", "o", Objects(8000)},
    {"arrays 2000", "o", Arrays(2000)},
    {"arrays 2047", "o", Arrays(2047)},
    {"arrays 32000", "o", Arrays(32000)},
    {"arrays without end", "o", std::string(65000, '[')},
    {"both 1000", "o", NestedText("{\"a\":[", "1", "]}", 1000)},
    {"both 2000", "o", NestedText("{\"a\":[", "1", "]}", 2000)},
    {"beside sound fields", "o", SoundFields("\"a\":" + Objects(2000))},
    {"list of models", "o",
	SoundFields(
	    "\"model_list\":" + NestedText("[{\"a\":", "1", "}]", 1000))},
};

/* Texts that are none, numbers out of range: what the store takes as JSON
 * differs from what is read here. */
const Entry kUnreadable[] = {
    {"no base64", "o", Raw("\"%%%\"")},
    {"number", "o", Raw("7")},
    {"null", "o", Raw("null")},
    {"object", "o", Raw(Objects(3))},
    {"nested in the answer 2000", "o", Raw(Objects(2000))},
    {"nested in the answer 8000", "o", Raw(Objects(8000))},
    {"arrays in the answer 30000", "o", Raw(Arrays(30000))},
    {"NUL in the answer", "o", Raw("\"a\\u0000b\"")},
    {"surrogate in the answer", "o", Raw("\"\\ud800\"")},
    {"no UTF-8 in the answer", "o", Raw("\"\xff\xfe\"")},
    {"large integer in the answer", "o", Raw("9" + std::string(400, '9'))},
    {"large number in the answer", "o", Raw("1e999")},
    {"key with NUL", Raw("\"\\u0000k\""), "x"},
    {"key with a surrogate", Raw("\"\\udc00\""), "x"},
    {"key without UTF-8", Raw("\"\xff\""), "x"},
    {"key that is an object", Raw(Objects(3000)), "x"},
};

struct OddEntries : Gateway {
	void
	RestartAll()
	{
		for (size_t i = 0; i < daemons.size(); i++) {
			daemons[i]->Signal(SIGKILL);
			daemons[i]->Wait();
			StartDaemon(i);
		}
	}

	void
	ExpectServed(const std::string &name)
	{
		for (size_t i = 0; i < daemons.size(); i++) {
			int served = 0;

			EXPECT_TRUE(Eventually([&] {
				return daemons[i]->HasExited() ||
				    (ReadyStatus(i) == 200 &&
					Call(i, "/q/warm", "w", 1).status ==
					    200);
			})) << name;
			for (int n = 0; n < kCalls; n++)
				served +=
				    Call(i, "/q/x", "e" + std::to_string(n), 2)
					.status == 200;
			EXPECT_EQ(kCalls, served) << name;
			EXPECT_FALSE(daemons[i]->HasExited()) << name;
		}
	}

	/* One entry after the other; all daemons start beside each. */
	template <size_t N>
	void
	ExpectServedBeside(const Entry (&entries)[N])
	{
		for (const auto &e : entries) {
			PutRow("servers", e.key, e.value.c_str());
			RestartAll();
			ExpectServed(e.name);
			PutRow("servers", e.key, nullptr);
		}
	}
};

/* Such an entry ended each daemon that read it, again after each start: its
 * nesting took more stack than the thread has. */
TEST_F(OddEntries, AnEntryThatIsNestedDeeplyStopsNoDaemon)
{
	StartReadyFleet(1, 2);
	ExpectServedBeside(kNested);
}

/* Such an entry hid all others of its page. */
TEST_F(OddEntries, AnEntryThatCannotBeReadHidesNoOther)
{
	StartReadyFleet(1, 2);
	ExpectServedBeside(kUnreadable);
}

/* What refuses an entry must not be done again at each read of the list. */
TEST_F(OddEntries, AnEntryIsReportedOnce)
{
	const char *const bad = "\"name\":\"row_unreadable\"";

	int rows = 0;

	StartReadyFleet(1, 1);
	for (const auto &e : kUnreadable)
		if (e.key == "o")
			PutRow("servers", "odd-" + std::to_string(rows++),
			    e.value.c_str());
	PutRow("servers", Raw("\"\\u0000\""), "x");
	ASSERT_TRUE(daemons[0]->WaitLine(bad, rows + 1));
	int before = daemons[0]->Count(bad);
	/* The table is listed every 3 s, and its feed tells of changes. */
	for (int i = 0; i < 10; i++) {
		SetWorkerState(0, "ready");
		g_usleep(400000);
	}
	EXPECT_EQ(before, daemons[0]->Count(bad));
	EXPECT_EQ(200, Call(0, "/q/x", "after", 2).status);
}

/* Rows of another writer inside a job, beside its results: each read was
 * answered 500. */
TEST_F(OddEntries, RowsBesideResultsHideNone)
{
	const struct {
		const char *name;
		const char *table;
		std::string key;
		std::string value;
	} cases[] = {
	    {"name", "result", "note", "x"},
	    {"before all", "result", "!", "x"},
	    {"after a number", "result", "000000x", "{}"},
	    {"short number", "result", "7", "{}"},
	    {"value that is no text", "result", "note", Raw("[1]")},
	    {"nested", "result", "note", Objects(2000)},
	    {"nested in the answer", "result", "note", Raw(Objects(3000))},
	    {"key with NUL", "result", Raw("\"\\u0000\""), "x"},
	    {"name of an item", "item", "000001x", "2000000000"},
	    {"progress", "progress", "000001x", Objects(2000)},
	    {"part of a text", "text", "000001-zz", "x"},
	};
	const int items = 3;
	int n = 0;

	StartReadyFleet(1, 2);
	for (const auto &c : cases) {
		std::string job = "j" + std::to_string(n++);

		PutRowIn(job, c.table, c.key, c.value.c_str());
		Send(0, "POST", "/b/" + job,
		    JobBody(job, items, RequestBody(2)), job);
		for (size_t d = 0; d < daemons.size(); d++)
			EXPECT_TRUE(Eventually([&] {
				return HasResults(d, job, items);
			})) << c.name;
		for (int from = 0; from <= items; from++) {
			json_t *doc = FetchResults(1, job, from);

			EXPECT_NE(nullptr, doc) << c.name;
			EXPECT_EQ((size_t)(items - from),
			    json_array_size(json_object_get(doc, "results")))
			    << c.name;
			json_decref(doc);
		}
	}
	EXPECT_EQ(200, Call(0, "/q/x", "after", 2).status);
}

} // namespace

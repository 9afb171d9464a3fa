/* Rows of other writers that stand among those of workers, jobs and daemons. */
#include "functional/gateway_fixture.h"

namespace
{

const int kCalls = 10;

std::string
Nested(const std::string &open, const std::string &inner,
    const std::string &close, int levels)
{
	std::string text;

	for (int i = 0; i < levels; i++)
		text += open;
	text += inner;
	for (int i = 0; i < levels; i++)
		text += close;
	return text;
}

std::string
Objects(int levels)
{
	return Nested("{\"a\":", "1", "}", levels);
}

std::string
Arrays(int levels)
{
	return Nested("[", "1", "]", levels);
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
    {"both 1000", "o", Nested("{\"a\":[", "1", "]}", 1000)},
    {"both 2000", "o", Nested("{\"a\":[", "1", "]}", 2000)},
    {"beside sound fields", "o", SoundFields("\"a\":" + Objects(2000))},
    {"list of models", "o",
	SoundFields("\"model_list\":" + Nested("[{\"a\":", "1", "}]", 1000))},
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
};

/* Such an entry ended each daemon that read it, again after each start: its
 * nesting took more stack than the thread has. */
TEST_F(OddEntries, AnEntryThatIsNestedDeeplyStopsNoDaemon)
{
	StartReadyFleet(1, 2);
	for (const auto &e : kNested) {
		PutRow("servers", e.key, e.value.c_str());
		RestartAll();
		ExpectServed(e.name);
		PutRow("servers", e.key, nullptr);
	}
}

} // namespace

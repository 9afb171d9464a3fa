#include <glib.h>
#include <gtest/gtest.h>

#include <set>
#include <string>

extern "C" {
#include "savoryflow/job/job_name.h"
}

namespace
{

std::string
NameOf(const std::string &id)
{
	char *name = job_name_of_id(id.c_str());
	std::string text = name;

	g_free(name);
	return text;
}

/* Guards against names that do not fit a key of the store, of 200 bytes. */
TEST(JobName, ShortIdsAreNamesAndLongOnesHaveADigest)
{
	const std::string digest_of_127_a =
	    "sha256:c57e9278af78fa3cab38667bef4ce29d783787a2f731d4e12200270f0"
	    "c32320a";
	const struct {
		const char *what;
		std::string id, name;
	} cases[] = {
	    {"short", "7c41e09b52d6a3f8", "7c41e09b52d6a3f8"},
	    {"longest", std::string(126, 'a'), std::string(126, 'a')},
	    {"too long", std::string(127, 'a'), digest_of_127_a},
	};

	for (const auto &c : cases)
		EXPECT_EQ(c.name, NameOf(c.id)) << c.what;
	EXPECT_EQ(71u, NameOf(std::string(16000, 'a')).size());
}

/* Guards against two jobs that share their rows. */
TEST(JobName, NoTwoIdsShareAName)
{
	std::set<std::string> ids, names;

	for (size_t len : {1, 71, 126, 127, 128, 160, 1000, 16000})
		for (char last : {'a', 'b'})
			ids.insert(std::string(len - 1, 'i') + last);
	/* An id that reads as the name of another one. */
	for (const std::string &id : std::set<std::string>(ids))
		ids.insert(NameOf(id));
	for (const std::string &id : ids)
		names.insert(NameOf(id));
	EXPECT_EQ(ids.size(), names.size());
}

} // namespace

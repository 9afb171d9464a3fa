#include <gtest/gtest.h>

#include <unistd.h>

#include <string>
#include <vector>

extern "C" {
#include "error/error.h"
#include "settings/settings.h"
}

namespace
{

struct SettingCase {
	const char *name;
	std::vector<std::string> flags;
	std::vector<std::string> vars;
	int error; /* -1: accepted */
	const char *expected_text;
};

struct settings *
ParseCase(const SettingCase &c, GError **err)
{
	std::vector<char *> argv, env;

	for (auto &f : c.flags)
		argv.push_back(const_cast<char *>(f.c_str()));
	for (auto &v : c.vars)
		env.push_back(const_cast<char *>(v.c_str()));
	argv.push_back(nullptr);
	env.push_back(nullptr);
	return settings_parse(
	    (int)c.flags.size(), argv.data(), env.data(), err);
}

TEST(Settings, ValidatesFlagsAndVariables)
{
	const SettingCase cases[] = {
	    {"defaults", {}, {}, -1, ""},
	    {"flag", {"--workers=8"}, {}, -1, ""},
	    {"value with unit", {"--stall-timeout-ms=500ms"}, {}, -1, ""},
	    {"other variables", {}, {"PATH=/bin", "SAVORYFLOW_URL=x"}, -1, ""},
	    {"unknown flag", {"--worker=8"}, {}, kErrSettingUnknown, "worker"},
	    {"unknown variable", {}, {"SAVORYFLOW_WORKER=8"},
		kErrSettingUnknown, "SAVORYFLOW_WORKER"},
	    {"bad unit", {"--stall-timeout-ms=5s"}, {}, kErrSettingUnit,
		"stall-timeout-ms"},
	    {"not a number", {}, {"SAVORYFLOW_WORKERS=many"}, kErrSettingUnit,
		"many"},
	    {"below range", {"--workers=0"}, {}, kErrSettingRange, "1 to 64"},
	    {"above range", {"--workers=65"}, {}, kErrSettingRange, "1 to 64"},
	    {"no port", {"--listen=127.0.0.1"}, {}, kErrSettingRange, "listen"},
	    {"bad peer", {"--peers=a:1,b"}, {}, kErrSettingRange, "peers"},
	    {"longest names",
		{"--region=" + std::string(255, 'r'),
		    "--data-center=" + std::string(255, 'd')},
		{}, -1, ""},
	    {"long region", {"--region=" + std::string(256, 'r')}, {},
		kErrSettingRange, "region"},
	    {"long data centre", {"--data-center=" + std::string(256, 'd')}, {},
		kErrSettingRange, "data-center"},
	    {"lease below two periods",
		{"--session-lease-ms=100", "--session-period-ms=80"}, {},
		kErrSettingRange, "session-lease-ms"},
	};

	for (const auto &c : cases) {
		GError *err = nullptr;
		struct settings *set = ParseCase(c, &err);

		EXPECT_EQ(c.error < 0, set != nullptr) << c.name;
		if (c.error >= 0 && err != nullptr) {
			EXPECT_EQ(c.error, err->code) << c.name;
			EXPECT_NE(
			    nullptr, strstr(err->message, c.expected_text))
			    << c.name << ": " << err->message;
		}
		g_clear_error(&err);
		settings_free(set);
	}
}

TEST(Settings, FlagOverridesVariable)
{
	SettingCase c = {
	    "", {"--workers=8"}, {"SAVORYFLOW_WORKERS=16"}, -1, ""};
	struct settings *set = ParseCase(c, nullptr);

	ASSERT_NE(nullptr, set);
	EXPECT_EQ(8, set->workers);
	settings_free(set);
}

struct FileCase {
	const char *name;
	const char *text;
	std::vector<std::string> flags;
	int error; /* -1: accepted */
	const char *expected_text;
	int64_t workers;
	int64_t drain_ms;
};

/* A flag overrides the file; an invalid file makes parsing fail. */
TEST(Settings, ReadsSettingsFile)
{
	const FileCase cases[] = {
	    {"values", "{\"workers\":7,\"drain-timeout-ms\":\"900\"}", {}, -1,
		"", 7, 900},
	    {"seconds", "{\"drain-timeout-s\":7.5}", {}, -1, "", 4, 7500},
	    {"whole number as a fraction",
		"{\"workers\":7.0,\"memory-mb\":120.0}", {}, -1, "", 7, 120000},
	    {"not a whole number", "{\"workers\":7.5}", {}, kErrSettingUnknown,
		"workers", 0, 0},
	    {"flag overrides file", "{\"workers\":7}", {"--workers=9"}, -1, "",
		9, 120000},
	    {"not JSON", "workers = 7", {}, kErrSettingUnknown, "JSON", 0, 0},
	    {"unknown setting", "{\"worker\":7}", {}, kErrSettingUnknown,
		"worker", 0, 0},
	    {"not a duration", "{\"workers-s\":7}", {}, kErrSettingUnknown,
		"workers-s", 0, 0},
	    {"wrong type", "{\"workers\":[7]}", {}, kErrSettingUnknown,
		"workers", 0, 0},
	    {"out of range", "{\"workers\":0}", {}, kErrSettingRange, "1 to 64",
		0, 0},
	};

	for (const auto &c : cases) {
		char path[] = "/tmp/savoryflow-settings-XXXXXX";
		int fd = mkstemp(path);
		SettingCase invocation = {c.name, c.flags,
		    {std::string("SAVORYFLOW_NODE_FILE=") + path}, 0, ""};
		GError *err = nullptr;

		ASSERT_EQ(
		    (ssize_t)strlen(c.text), write(fd, c.text, strlen(c.text)));
		close(fd);
		struct settings *set = ParseCase(invocation, &err);
		EXPECT_EQ(c.error < 0, set != nullptr) << c.name;
		if (set != nullptr) {
			EXPECT_EQ(c.workers, set->workers) << c.name;
			EXPECT_EQ(c.drain_ms, set->drain_timeout_ms) << c.name;
		} else {
			EXPECT_EQ(c.error, err->code) << c.name;
			EXPECT_NE(
			    nullptr, strstr(err->message, c.expected_text))
			    << err->message;
			g_error_free(err);
		}
		settings_free(set);
		unlink(path);
	}
}

} // namespace

#ifndef TEST_UNIT_BLAME_FIXTURE_H
#define TEST_UNIT_BLAME_FIXTURE_H

#include <gtest/gtest.h>

#include <sstream>
#include <string>

extern "C" {
#include "savoryflow/retry/blame.h"
}

const int64_t kMs = 1000;
const int64_t kSec = 1000000;

inline uint64_t
KeyOf(const std::string &name)
{
	return blame_daemon_hash(name.c_str());
}

/* "r1,a0,x": the whole request, then its parts. */
inline blame_keys
KeysOf(const std::string &text)
{
	std::stringstream in(text);
	std::string name;
	blame_keys keys = {};

	while (std::getline(in, name, ','))
		keys.keys[keys.count++] = KeyOf(name);
	return keys;
}

/* One daemon, which coordinates alone unless said otherwise. */
struct Daemon {
	std::string name;
	blame *bl;
	blame_out *out = blame_out_new();

	explicit Daemon(const std::string &n, bool coordinates = true)
	    : name(n), bl(blame_new(n.c_str()))
	{
		blame_set_role(bl, coordinates, coordinates);
	}

	~Daemon()
	{
		blame_out_free(out);
		blame_free(bl);
	}

	Daemon(const Daemon &) = delete;

	blame_run
	Run(int64_t sent_us, int64_t ended_us, const std::string &target,
	    const std::string &keys, bool has_ended = true)
	{
		blame_run run = {};

		run.keys = KeysOf(keys);
		run.sent_us = sent_us;
		run.ended_us = ended_us;
		run.has_target_ended = has_ended;
		g_strlcpy(run.target, target.c_str(), sizeof(run.target));
		g_strlcpy(run.seen_by, name.c_str(), sizeof(run.seen_by));
		return run;
	}

	/* Ticks as a daemon does, up to the time. */
	void
	TickUntil(int64_t from_us, int64_t to_us)
	{
		for (int64_t t = from_us; t < to_us; t += 100 * kMs)
			blame_tick(bl, t, out);
		blame_tick(bl, to_us, out);
	}

	blame_verdict
	Check(const std::string &keys, int64_t now_us, bool will_send = false)
	{
		blame_keys k = KeysOf(keys);
		uint64_t key;

		return blame_check(bl, &k, will_send, now_us, out, &key);
	}

	void
	Lose(int64_t sent_us, int64_t ended_us, const std::string &target,
	    const std::string &keys)
	{
		blame_run run = Run(sent_us, ended_us, target, keys);

		blame_record_run(bl, &run, ended_us, out);
	}

	/* Three ends under two requests with the part "x". */
	void
	BlockX(int64_t at_us)
	{
		Lose(at_us, at_us + 20 * kMs, "t1", "r1,a,x");
		Lose(at_us + 20 * kMs, at_us + 40 * kMs, "t2", "r1,a,x");
		Lose(at_us + 60 * kMs, at_us + 80 * kMs, "t3", "r2,a,x");
		blame_keys other = KeysOf("o1,b");

		blame_record_begun(
		    bl, &other, at_us + 70 * kMs, at_us + 90 * kMs, out);
		TickUntil(at_us + 100 * kMs, at_us + kSec);
	}
};

#endif

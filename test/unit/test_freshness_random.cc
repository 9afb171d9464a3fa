/*
 * Random steps of daemons whose proofs come from a store and from each other,
 * in virtual time. The store rejects some daemons, its answers are late, lost
 * or out of order; daemons are stopped, suspended, slow, partitioned in one
 * direction and restarted; keys are revoked one by one and by team.
 */
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

extern "C" {
#include "savoryflow/freshness/freshness.h"
}

namespace
{

const int64_t kMs = 1000;
const int64_t kSec = 1000 * kMs;
const int64_t kBoundUs = 5 * kSec;
const int kDaemons = 8, kTeams = 5, kKeysPerTeam = 4;
const int64_t kTickUs = 100 * kMs;
const int64_t kHoldUs = 250 * kMs;
/* Longest delay of an answer that counts as in time. */
const int64_t kUsualDelayUs = 40 * kMs;

struct Key {
	int team;
	int64_t added_us;
	/** -1: not revoked. */
	int64_t revoked_us;
};

struct Version {
	int64_t row;
	std::set<int> keys;
};

struct Counts {
	int64_t runs = 0, stale = 0, unknown = 0, outdated = 0, late_keys = 0;
	int64_t asks = 0, refused_at_send = 0;
};

struct World {
	struct Daemon {
		struct freshness *fr = nullptr;
		int64_t offset_us = 0, ppm = 0;
		int generation = 0;
		size_t version = 0;
		int64_t frozen_until = 0, turned_until = 0, lost_to = 0,
			lost_from = 0, slow_until = 0;
		/** End of the last trouble, of its own or on the way to the
		 * store. */
		int64_t own_trouble = 0, store_trouble = 0;
		int next_peer = 0;
	};
	struct Event {
		int64_t at;
		uint64_t seq;
		std::function<void()> fn;

		bool
		operator<(const Event &o) const
		{
			return at != o.at ? at > o.at : seq > o.seq;
		}
	};
	struct Waiter {
		std::shared_ptr<bool> is_done;
		std::function<void()> reply;
	};
	std::mt19937_64 rng;
	std::priority_queue<Event> queue;
	uint64_t seq = 0;
	int64_t now = 1000 * kSec;
	std::vector<Daemon> ds{kDaemons};
	int64_t link_cut[kDaemons][kDaemons] = {};
	std::vector<Key> keys;
	std::vector<Version> versions;
	std::vector<int> revoked;
	std::vector<Waiter> waiters;
	Counts n;

	explicit World(uint64_t seed) : rng(seed)
	{
		/* Index 0: no version. */
		versions.push_back({0, {}});
		versions.push_back({10, {}});
		for (int t = 0; t < kTeams; t++)
			for (int k = 0; k < kKeysPerTeam; k++)
				AddKey(t);
		for (int i = 0; i < kDaemons; i++) {
			ds[i].offset_us = Random(1000 * kSec);
			ds[i].ppm = Random(800) - 400;
			Restart(i);
		}
		At(Random(kSec), [this] { Fault(); });
		At(Random(kSec), [this] { Change(); });
		At(Random(kSec), [this] { Call(); });
	}

	~World()
	{
		for (auto &d : ds)
			freshness_free(d.fr);
	}

	int64_t
	Random(int64_t n)
	{
		return (int64_t)(rng() % (uint64_t)n);
	}

	int64_t
	Local(int i) const
	{
		return ds[i].offset_us + now + now / 1000000 * ds[i].ppm;
	}

	void
	At(int64_t delay_us, std::function<void()> fn)
	{
		queue.push({now + delay_us, seq++, std::move(fn)});
	}

	/* Runs at the daemon once it is not stopped, unless it was
	 * restarted. */
	void
	AtDaemon(int i, int64_t delay_us, std::function<void()> fn)
	{
		int generation = ds[i].generation;

		At(delay_us, [this, i, generation, fn] {
			RunAtDaemon(i, generation, fn);
		});
	}

	void
	RunAtDaemon(int i, int generation, const std::function<void()> &fn)
	{
		if (ds[i].generation != generation)
			return;
		if (ds[i].frozen_until <= now) {
			fn();
			return;
		}
		queue.push({ds[i].frozen_until, seq++,
		    [=] { RunAtDaemon(i, generation, fn); }});
	}

	void
	AddKey(int team)
	{
		versions.back().keys.insert((int)keys.size());
		keys.push_back({team, now, -1});
	}

	void
	Restart(int i)
	{
		ds[i].generation++;
		freshness_free(ds[i].fr);
		ds[i].fr = freshness_new(kBoundUs);
		ds[i].version = 0;
		ds[i].own_trouble = std::max(ds[i].own_trouble, now);
		AtDaemon(i, Random(kTickUs), [this, i] { Tick(i); });
		AtDaemon(i, 0, [this, i] { Feed(i); });
	}

	int64_t
	Delay(int i)
	{
		return ds[i].slow_until > now ? Random(2 * kSec)
					      : Random(kUsualDelayUs);
	}

	void
	Apply(int i, size_t version)
	{
		if (version <= ds[i].version)
			return;
		ds[i].version = version;
		freshness_set_version(ds[i].fr, versions[version].row);
	}

	/* One call of the store. @param done called with the newest version it
	 * shows, 0 if it failed */
	void
	CallStore(int i, int64_t wait_us, int64_t timeout_us,
	    const std::function<void(size_t)> &done)
	{
		auto is_done = std::make_shared<bool>(false);
		auto finish = [is_done, done](size_t version) {
			if (!*is_done) {
				*is_done = true;
				done(version);
			}
		};

		AtDaemon(i, timeout_us, [finish] { finish(0); });
		if (ds[i].lost_to > now)
			return;
		At(Delay(i),
		    [this, i, wait_us, finish] { Serve(i, wait_us, finish); });
	}

	void
	Serve(int i, int64_t wait_us, const std::function<void(size_t)> &finish)
	{
		if (ds[i].turned_until > now) {
			AtDaemon(i, Delay(i), [finish] { finish(0); });
			return;
		}
		auto reply = [this, i, finish] {
			size_t version = versions.size() - 1;

			if (ds[i].lost_from <= now)
				AtDaemon(i, Delay(i),
				    [finish, version] { finish(version); });
		};
		auto is_replied = std::make_shared<bool>(false);

		if (wait_us == 0 || versions.size() - 1 > ds[i].version) {
			reply();
			/* The read is as old as it can be: keys are revoked
			 * next, and nobody can read that. */
			if (Random(100) == 0) {
				Publish();
				TurnAway(1, now + Random(9 * kSec));
			}
			return;
		}
		waiters.push_back({is_replied, reply});
		At(wait_us, [is_replied, reply] {
			if (!*is_replied) {
				*is_replied = true;
				reply();
			}
		});
	}

	void
	Feed(int i)
	{
		int64_t sent_us = Local(i);
		int64_t wait_us = freshness_feed_wait_ms(kBoundUs) * kMs;

		CallStore(i, wait_us, wait_us + kSec,
		    [this, i, sent_us](size_t version) {
			    Read(i, sent_us, version);
			    AtDaemon(i,
				version > 0 ? 0 : 100 * kMs + Random(700 * kMs),
				[this, i] { Feed(i); });
		    });
	}

	void
	Read(int i, int64_t sent_us, size_t version)
	{
		if (version == 0)
			return;
		Apply(i, version);
		freshness_record_read(ds[i].fr, sent_us, versions[version].row);
	}

	void
	Improve(int i, bool is_wanted)
	{
		Daemon &d = ds[i];
		int64_t local_us = Local(i);

		if (freshness_read_is_due(d.fr, is_wanted, local_us)) {
			freshness_read_started(d.fr, local_us);
			CallStore(i, 0, kSec, [this, i, local_us](size_t v) {
				Read(i, local_us, v);
				freshness_read_ended(ds[i].fr, v > 0, Local(i));
			});
		}
		if (!freshness_ask_is_due(d.fr, is_wanted, local_us))
			return;
		freshness_asked(d.fr, local_us);
		for (int k = 0; k < 2; k++) {
			int peer = d.next_peer++ % kDaemons;

			if (peer != i)
				Ask(i, peer, local_us);
		}
	}

	void
	Ask(int i, int peer, int64_t asked_us)
	{
		n.asks++;
		if (link_cut[i][peer] > now)
			return;
		AtDaemon(peer, Random(kUsualDelayUs), [=] {
			freshness_proof p =
			    freshness_best(ds[peer].fr, Local(peer));
			int64_t age_us = Local(peer) - p.sent_us;
			size_t version = ds[peer].version;

			if (p.version == 0 || link_cut[peer][i] > now)
				return;
			AtDaemon(i, Random(kUsualDelayUs), [=] {
				OnAnswer(i, peer, asked_us, age_us, p.version,
				    version);
			});
		});
	}

	/* A version that is not in force is fetched from the peer. */
	void
	OnAnswer(int i, int peer, int64_t asked_us, int64_t age_us, int64_t row,
	    size_t version)
	{
		if (freshness_record_answer(ds[i].fr, asked_us, age_us, row) ||
		    link_cut[i][peer] > now || link_cut[peer][i] > now)
			return;
		AtDaemon(i, Random(2 * kUsualDelayUs),
		    [this, i, version] { Apply(i, version); });
	}

	void
	Tick(int i)
	{
		Improve(i, false);
		AtDaemon(i, kTickUs, [this, i] { Tick(i); });
	}

	/* Ends at a random time; may overlap with others. */
	void
	Fault()
	{
		int i = (int)Random(kDaemons);
		int64_t until = now + Random(9 * kSec);
		Daemon &d = ds[i];

		switch (Random(8)) {
		case 0:
			d.frozen_until = until;
			d.own_trouble = std::max(d.own_trouble, until);
			break;
		case 1:
			TurnAway(1 + (int)Random(3), until);
			break;
		case 6:
			/* All of them. */
			TurnAway(1, until);
			break;
		case 2:
			d.lost_to = until;
			Trouble(i, until);
			break;
		case 3:
			d.lost_from = until;
			Trouble(i, until);
			break;
		case 4:
			d.slow_until = until;
			Trouble(i, until + 2 * kSec);
			break;
		case 5:
			for (int k = 0; k < kDaemons; k++)
				if (Random(2) == 0)
					link_cut[i][k] = until;
			break;
		default:
			Restart(i);
		}
		At(Random(3 * kSec), [this] { Fault(); });
	}

	void
	TurnAway(int step, int64_t until)
	{
		for (int k = 0; k < kDaemons; k += step) {
			ds[k].turned_until = until;
			Trouble(k, until);
		}
	}

	void
	Trouble(int i, int64_t until)
	{
		ds[i].store_trouble = std::max(ds[i].store_trouble, until);
	}

	void
	Revoke(int key)
	{
		versions.back().keys.erase(key);
		keys[key].revoked_us = now;
		revoked.push_back(key);
	}

	/* One key, or all of a team, are replaced. */
	void
	Publish()
	{
		Version next = versions.back();
		int team = (int)Random(kTeams);
		bool is_whole_team = Random(3) == 0;

		next.row += 1 + Random(50);
		versions.push_back(next);
		for (int k : next.keys) {
			if (keys[k].team != team)
				continue;
			Revoke(k);
			AddKey(team);
			if (!is_whole_team)
				break;
		}
		auto list = std::move(waiters);
		waiters.clear();
		for (auto &w : list) {
			if (*w.is_done)
				continue;
			*w.is_done = true;
			w.reply();
		}
	}

	void
	Change()
	{
		Publish();
		At(Random(4 * kSec), [this] { Change(); });
	}

	void
	Call()
	{
		int i = (int)Random(kDaemons);
		int key =
		    (int)keys.size() - 1 - (int)Random(kTeams * kKeysPerTeam);

		if (!revoked.empty() && Random(2) == 0)
			key = revoked[revoked.size() - 1 -
			    (size_t)Random(
				std::min<int64_t>((int64_t)revoked.size(), 5))];
		AtDaemon(i, Random(20 * kMs),
		    [this, i, key] { Arrive(i, key, now + kHoldUs); });
		At(Random(12 * kMs), [this] { Call(); });
	}

	bool
	IsHeld(int i, int key) const
	{
		return versions[ds[i].version].keys.count(key) > 0;
	}

	/* Waits for a proof while one may arrive. */
	bool
	Hold(int i, int key, int64_t until)
	{
		Improve(i, true);
		if (now >= until || !freshness_may_improve(ds[i].fr, Local(i)))
			return false;
		AtDaemon(i, 20 * kMs,
		    [this, i, key, until] { Arrive(i, key, until); });
		return true;
	}

	void
	Arrive(int i, int key, int64_t until)
	{
		struct freshness *fr = ds[i].fr;

		if (ds[i].version == 0) {
			ExpectNoPath(i, 4 * kSec);
		} else if (!IsHeld(i, key)) {
			if (freshness_shows_unknown(fr, Local(i)))
				RefuseUnknown(key);
			else if (!Hold(i, key, until))
				n.outdated++;
		} else if (!freshness_admits(fr, Local(i))) {
			if (Hold(i, key, until))
				return;
			n.stale++;
			ExpectNoPath(i, 1500 * kMs);
		} else {
			int64_t wait_us = Random(2) == 0 ? 0 : Random(4 * kSec);

			AtDaemon(
			    i, wait_us, [this, i, key] { SendIt(i, key); });
		}
	}

	void
	RefuseUnknown(int key)
	{
		const Key &k = keys[key];

		n.unknown++;
		EXPECT_TRUE((k.revoked_us >= 0 && k.revoked_us <= now) ||
		    now - k.added_us < kFreshnessUnknownKeyUs + 50 * kMs)
		    << "401 for a key that is in force, at " << now;
	}

	/* A refusal is right only if nobody could have given a proof. */
	void
	ExpectNoPath(int i, int64_t since_us)
	{
		const Daemon &d = ds[i];
		int64_t own = now - d.own_trouble;

		EXPECT_FALSE(own > since_us && now - d.store_trouble > since_us)
		    << "daemon " << i << " reaches the store, at " << now;
		for (int p = 0; p < kDaemons; p++) {
			const Daemon &peer = ds[p];
			int64_t well = std::min({own, now - peer.own_trouble,
			    now - peer.store_trouble, now - link_cut[i][p],
			    now - link_cut[p][i]});

			EXPECT_FALSE(p != i && well > 4 * kSec)
			    << "daemon " << i << " reaches peer " << p
			    << ", at " << now;
		}
	}

	void
	SendIt(int i, int key)
	{
		int64_t revoked_us = keys[key].revoked_us;
		/* Transit to the target. */
		int64_t run_us = now + Random(kFreshnessTransitUs);

		if (!IsHeld(i, key) || !freshness_admits(ds[i].fr, Local(i))) {
			n.refused_at_send++;
			return;
		}
		n.runs++;
		if (revoked_us >= 0 && revoked_us <= now)
			n.late_keys++;
		EXPECT_TRUE(revoked_us < 0 || run_us <= revoked_us + kBoundUs)
		    << "daemon " << i << " ran a request "
		    << run_us - revoked_us << " us after the end of its key";
	}

	void
	Run(int64_t steps)
	{
		for (int64_t s = 0; s < steps && !testing::Test::HasFailure();
		     s++) {
			Event ev = queue.top();

			queue.pop();
			now = ev.at;
			ev.fn();
			if (waiters.size() > 100)
				waiters.erase(
				    waiters.begin(), waiters.begin() + 50);
		}
	}
};

/* Guards against requests that run after the bound, refusals although a proof
 * could be obtained, and 401 for a key that is in force. */
TEST(FreshnessRandom, AMillionStepsKeepTheBound)
{
	const int kWorlds = 40;
	const int64_t kSteps = 25000;
	Counts sum;

	for (int seed = 1; seed <= kWorlds && !HasFailure(); seed++) {
		World w(20261206 + (uint64_t)seed);

		SCOPED_TRACE("seed " + std::to_string(20261206 + seed));
		w.Run(kSteps);
		sum.runs += w.n.runs;
		sum.stale += w.n.stale;
		sum.unknown += w.n.unknown;
		sum.outdated += w.n.outdated;
		sum.late_keys += w.n.late_keys;
		sum.refused_at_send += w.n.refused_at_send;
		sum.asks += w.n.asks;
	}
	/* The cases that the checks are about do occur. */
	EXPECT_GT(sum.runs, 10000);
	EXPECT_GT(sum.stale, 100);
	EXPECT_GT(sum.unknown, 1000);
	EXPECT_GT(sum.outdated, 100);
	EXPECT_GT(sum.late_keys, 100);
	EXPECT_GT(sum.refused_at_send, 100);
	EXPECT_GT(sum.asks, 1000);
	printf("runs %ld, of keys revoked before %ld, refused: stale %ld, "
	       "unknown %ld, outdated %ld, at the send %ld; asks %ld\n",
	    (long)sum.runs, (long)sum.late_keys, (long)sum.stale,
	    (long)sum.unknown, (long)sum.outdated, (long)sum.refused_at_send,
	    (long)sum.asks);
}

} // namespace

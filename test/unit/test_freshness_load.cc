/* Reads of the store and messages that proofs cost, in virtual time. */
#include <gtest/gtest.h>

#include <random>
#include <vector>

extern "C" {
#include "savoryflow/freshness/freshness.h"
}

namespace
{

const int64_t kMs = 1000;
const int64_t kSec = 1000 * kMs;
const int64_t kBoundUs = 5 * kSec;
const int64_t kStepUs = 10 * kMs;
const int kCentres = 6;

enum class Trouble { kNone, kHalf, kCentre, kSlow };

/* Daemons of six data centres, with the policy of the gateway: reads and
 * questions are considered each 100 ms; a round goes to two peers of the data
 * centre, every second one also to two of any. */
struct Daemons {
	struct Daemon {
		struct freshness *fr;
		bool is_rejected;
		int64_t tick_us, feed_sent_us, feed_end_us, read_end_us = 0;
		int64_t read_sent_us = 0;
		int next_peer, rounds = 0;
	};
	std::vector<Daemon> ds;
	std::mt19937_64 rng{20261206};
	int64_t now = 100 * kSec;
	int64_t feed_us = freshness_feed_wait_ms(kBoundUs) * kMs;
	int64_t latency_us;
	int64_t feeds = 0, reads = 0, messages = 0, refused = 0;

	Daemons(int n, Trouble trouble)
	    : latency_us(trouble == Trouble::kSlow ? 800 * kMs : 5 * kMs)
	{
		for (int i = 0; i < n; i++) {
			Daemon d = {};
			bool is_hit = (trouble == Trouble::kHalf &&
					  i / kCentres % 2 == 0) ||
			    (trouble == Trouble::kCentre && i % kCentres == 0);

			d.fr = freshness_new(kBoundUs);
			d.is_rejected = is_hit;
			d.tick_us = now + (int64_t)(rng() % (100 * kMs));
			d.feed_sent_us = now - (int64_t)(rng() % kSec);
			d.feed_end_us = now;
			d.next_peer = (int)(rng() % (uint64_t)n);
			freshness_set_version(d.fr, 1);
			freshness_record_read(d.fr, now, 1);
			ds.push_back(d);
		}
	}

	~Daemons()
	{
		for (auto &d : ds)
			freshness_free(d.fr);
	}

	void
	Ask(Daemon &d, size_t peer)
	{
		freshness_proof p = freshness_best(ds[peer].fr, now);

		messages++;
		if (&ds[peer] == &d || p.version == 0)
			return;
		messages++;
		freshness_record_answer(d.fr, now, now - p.sent_us, p.version);
	}

	void
	AskPeers(size_t self)
	{
		Daemon &d = ds[self];
		size_t n = ds.size();

		freshness_asked(d.fr, now);
		for (int k = 0; k < 2; k++)
			Ask(d,
			    (self % kCentres +
				(size_t)d.next_peer++ * kCentres) %
				(n - n % kCentres));
		if (++d.rounds % 2 == 0)
			for (int k = 0; k < 2; k++)
				Ask(d, (size_t)d.next_peer++ % n);
	}

	void
	Tick(size_t i)
	{
		Daemon &d = ds[i];

		d.tick_us += 100 * kMs;
		refused += !freshness_admits(d.fr, now);
		if (freshness_read_is_due(d.fr, false, now)) {
			freshness_read_started(d.fr, now);
			reads++;
			d.read_sent_us = now;
			d.read_end_us = now + latency_us;
		}
		if (freshness_ask_is_due(d.fr, false, now))
			AskPeers(i);
	}

	void
	Step(size_t i)
	{
		Daemon &d = ds[i];

		if (now >= d.feed_end_us) {
			if (!d.is_rejected)
				freshness_record_read(d.fr, d.feed_sent_us, 1);
			feeds++;
			d.feed_sent_us = now;
			d.feed_end_us = now + latency_us +
			    (d.is_rejected ? 800 * kMs : feed_us);
		}
		if (d.read_end_us != 0 && now >= d.read_end_us) {
			d.read_end_us = 0;
			if (!d.is_rejected)
				freshness_record_read(d.fr, d.read_sent_us, 1);
			freshness_read_ended(d.fr, !d.is_rejected, now);
		}
		if (now >= d.tick_us)
			Tick(i);
	}

	void
	Run(int64_t time_us)
	{
		for (int64_t end_us = now + time_us; now < end_us;
		     now += kStepUs)
			for (size_t i = 0; i < ds.size(); i++)
				Step(i);
	}
};

/* Guards against proofs that cost more than the store and the VMs can bear, and
 * against refusals while a peer has a proof. */
TEST(FreshnessLoad, ReadsAndMessagesOfManyDaemons)
{
	const struct {
		const char *name;
		Trouble trouble;
		/** Most a second and daemon. */
		double feeds, reads, messages;
	} cases[] = {
	    {"all reach the store", Trouble::kNone, 1.4, 0, 0},
	    {"the store takes 800 ms", Trouble::kSlow, 0.7, 0.7, 1},
	    {"half of each data centre rejected", Trouble::kHalf, 1.4, 1, 5},
	    {"one data centre rejected", Trouble::kCentre, 1.4, 1, 4},
	};
	const int kSeconds = 30;

	for (const auto &c : cases)
		for (int n : {30, 100, 300, 1000}) {
			Daemons fleet(n, c.trouble);
			double per = (double)n * kSeconds;

			fleet.Run(kSeconds * kSec);
			EXPECT_EQ(0, fleet.refused) << c.name << " " << n;
			EXPECT_LE((double)fleet.feeds / per, c.feeds) << c.name;
			EXPECT_LE((double)fleet.reads / per, c.reads) << c.name;
			EXPECT_LE((double)fleet.messages / per, c.messages)
			    << c.name;
			printf("%s, %d daemons: a second and daemon %.2f calls "
			       "of the feed, %.2f reads, %.2f messages; %.0f "
			       "reads of the store a second\n",
			    c.name, n, (double)fleet.feeds / per,
			    (double)fleet.reads / per,
			    (double)fleet.messages / per,
			    (double)(fleet.feeds + fleet.reads) / kSeconds);
		}
}

} // namespace

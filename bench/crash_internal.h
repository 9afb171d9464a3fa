#ifndef BENCH_CRASH_INTERNAL_H
#define BENCH_CRASH_INTERNAL_H

#include "crash_fleet.h"
#include "savoryflow/retry/blame.h"

/* Internal to the crash bench. */

enum {
	kMs = 1000,
	kSecond = 1000 * kMs,
	kSlots = 8,
	kAttemptsMax = 2,
	kCoordinators = 2,
	kTickMs = 100,
	kHoldCheckMs = 20,
	/* One way, within a region and to another one. */
	kNearMs = 3,
	kFarMs = 33,
	kRegions = 3,
	/* Time from a request's start at a worker to its answer, and to the
	 * end. */
	kBeginMinMs = 20,
	kBeginMaxMs = 120,
	kRunMinMs = 400,
	kRunMaxMs = 1100,
	kRestartMinMs = 1500,
	kRestartMaxMs = 4000,
	kDaemonDownMs = 500,
	/* Waits of an item after a lost run, and while it is held or blocked.
	 */
	kItemRetryMs = 60,
	kItemHeldMs = 100,
	kItemBlockedMs = 1000,
	/* Time until a job is due. */
	kItemDueMs = 18000,
	/* Sessions of sound requests, each a part of its own. */
	kSessions = 300,
	/* The users' bound, and the ends after which it begins. */
	kContactMs = 4000,
	kEndsBound = 5,
	/* Keys: bases of the parts and requests. */
	kSharedPart = 7,
	kBadPart = 1000,
	kBadPartsMax = 4,
	kSessionPart = 100000,
};

struct worker {
	int32_t start;
	int64_t up_at_ms;
	int32_t running;
};

struct daemon {
	struct blame *bl;
	struct blame_out *out;
	char name[32];
	int64_t up_at_ms;
};

struct run {
	struct blame_keys keys;
	int32_t daemon;
	int32_t worker;
	int32_t worker_start;
	int32_t attempts;
	int64_t sent_ms;
	int64_t begin_ms;
	int64_t end_ms;
	/** Number of the bad part, if it has one. */
	int32_t bad_part;
	bool is_bad;
	bool is_cut;
	bool has_begun;
	bool is_counted;
	/** A trial: its verdict is known. */
	bool is_trial;
	/** Repeated until its answer has begun. */
	bool is_item;
	int64_t arrived_ms;
	/** Held until then. */
	int64_t retry_ms;
};

/** Something that a daemon gets later. */
struct message {
	int64_t at_ms;
	int32_t to;
	uint64_t from;
	bool is_run;
	/** A lost run of the daemon itself, after its worker was probed. */
	bool is_own;
	struct blame_run run;
	struct blame_note note;
};

struct fleet {
	const struct crash_scenario *sc;
	GRand *rand;
	int64_t now_ms;
	struct daemon *daemons;
	struct worker *workers;
	/** struct run, and struct message ordered by time. */
	GArray *runs;
	/** struct run, requests that are held. */
	GArray *held;
	GQueue messages;
	uint64_t next_request;
	uint64_t next_job;
	/** Ends of workers under each bad part, and when the fifth one was; 0:
	 * not yet. */
	int32_t ends[kBadPartsMax];
	int64_t fifth_end_ms[kBadPartsMax];
	/** Lets through so far, by part. */
	int32_t let_through[kBadPartsMax];
	/** From when on sound requests are counted; 0: not yet. */
	int64_t sound_from_ms;
	/** The last part that was blocked wrongly. */
	uint64_t wrong_part;
	struct crash_result res;
};

int64_t crash_now_us(const struct fleet *fl);

/** A random number within the bounds, both included. */
int32_t crash_pick(struct fleet *fl, int32_t from, int32_t to);

bool crash_is_up(const struct fleet *fl, int32_t daemon);

/** One way between two daemons, or a daemon and a worker. */
int64_t crash_delay_ms(int32_t a, int32_t b);

/** Sends a message; copied. */
void crash_post(struct fleet *fl, const struct message *msg);

/** Sends what a daemon's blame module has left. */
void crash_flush(struct fleet *fl, int32_t daemon);

/** Hands over the messages that are due. */
void crash_deliver(struct fleet *fl);

/** Asks a daemon whether the run may start. */
enum blame_verdict crash_check(
    struct fleet *fl, const struct run *run, bool will_send);

/** Periodic work of the daemons. */
void crash_tick_daemons(struct fleet *fl);

#endif

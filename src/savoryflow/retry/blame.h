#ifndef SAVORYFLOW_BLAME_H
#define SAVORYFLOW_BLAME_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Who is to blame for crashes of targets: a request as a whole, or a part of
 * prompts that many requests share. Evidence for a key is a run that was lost
 * before its answer began, when its target ended; evidence against it is an
 * answer that began. It is weighed against how often runs without the key are
 * lost in the same time: targets also end for other reasons. All daemons report
 * evidence to the coordinators; these judge parts and tell all daemons. Each
 * daemon also judges whole requests by the runs that it knows. No I/O, no
 * clock.
 *
 * Functions with a parameter `out` append what is to be sent to other daemons.
 */
struct blame;

enum {
	/** Keys of one request: the whole, and the parts of its prompt. */
	kBlameKeysMax = 16,
	kBlameNameMax = 256,
	/** Requests that are refused because of a key are reported to the
	 * coordinators once in this time; those that are held, more often. */
	kBlameReportPeriodUs = 2000000,
	kBlameHeldReportPeriodUs = 100000,
	/** A request is held no longer than this. */
	kBlameHoldUs = 600000,
	/** The coordinators repeat their verdicts, for daemons that missed them
	 * or have started since. */
	kBlameRepeatPeriodUs = 2000000,
	/** Time from a blocked key's last crash to the first trial of it: items
	 * that wait can still be in time. */
	kBlameFirstTrialUs = 10000000,
	/** The same to the second trial; doubled for each one that crashes a
	 * target. */
	kBlameTrialUs = 60000000,
};

/** By what a request can be recognized in others. */
struct blame_keys {
	/** The request as a whole, then the shared parts of its prompt in
	 * order. */
	uint64_t keys[kBlameKeysMax];
	int32_t count;
	/** An item of a job, which is owed: it is never blocked as a whole, and
	 * runs that may have lost only their connections do not count. */
	bool is_owed;
};

/** A run that was lost before its answer began. */
struct blame_run {
	struct blame_keys keys;
	/** When an answer last began, by key, as far as the daemon knows;
	 * INT64_MIN if unknown. */
	int64_t begun_us[kBlameKeysMax];
	char target[kBlameNameMax];
	/** Tells the starts of a target apart. */
	int64_t target_started_ms;
	/** The daemon that sent the run. */
	char seen_by[kBlameNameMax];
	int64_t sent_us;
	int64_t ended_us;
	/** The target's process has ended, rather than a connection. */
	bool has_target_ended;
};

enum blame_verdict {
	/** Nothing is known against the request. */
	kBlameNone,
	/** A run is allowed, but no second one after it. */
	kBlameSuspected,
	/** One run is allowed in spite of what is known. */
	kBlameTrial,
	/** A run may be allowed soon: requests with a suspected key run one at
	 * a time in the whole fleet. */
	kBlameHeld,
	/** No run is allowed. */
	kBlameBlocked,
};

enum blame_note_kind {
	/** To the coordinators: an answer began. */
	kBlameNoteBegun = 1,
	/** To the coordinators: a request was held or refused because of the
	 * key. */
	kBlameNoteRefused,
	/** To the coordinators: an answer began to a request without the
	 * suspected key. */
	kBlameNoteOthers,
	/** To the coordinators: the daemon needs all verdicts. */
	kBlameNoteAsk,
	/** To all daemons: a verdict of a coordinator. */
	kBlameNoteVerdict,
	/** To the coordinators: answers that began to requests without the
	 * suspected key until then. */
	kBlameNoteExposure,
};

struct blame_note {
	enum blame_note_kind kind;
	uint64_t key;
	/** Verdict: when it was reached. Otherwise when it happened. */
	int64_t at_us;
	/** Others, exposure: how long the runs took until their answers began,
	 * since the last such note. */
	int64_t exposure_us;
	/** The rest is for verdicts. The version increases with each change. */
	uint64_t version;
	enum blame_verdict verdict;
	/** The key is a part of prompts rather than a whole request. */
	bool is_part;
	/** Lost runs of requests with the key, and when the last one ended. */
	int32_t lost_runs;
	int64_t last_end_us;
	/** Last request that was held or refused because of the key. */
	int64_t refused_us;
	/** Trials that crashed a target. */
	int32_t trials;
	/** Hash of the daemon that may send one request in spite of the
	 * verdict, until a time; 0: none. */
	uint64_t trial_by;
	int64_t trial_until_us;
};

struct blame_out {
	/** struct blame_run, for the coordinators. */
	GArray *runs;
	/** struct blame_note. */
	GArray *notes;
};

/** What a coordinator knows of a key that it has just blocked, for the log. */
struct blame_case {
	uint64_t key;
	bool is_part;
	int32_t lost_runs;
	/** Names, separated by commas; free with blame_case_clear. */
	GString *targets;
	GString *seen_by;
};

/** @param self address of this daemon */
struct blame *blame_new(const char *self);
void blame_free(struct blame *bl);

struct blame_out *blame_out_new(void);
void blame_out_clear(struct blame_out *out);
void blame_out_free(struct blame_out *out);

/** Hash by which trials name a daemon. */
uint64_t blame_daemon_hash(const char *address);

/** Key of a request as a whole, the same for all its attempts. */
uint64_t blame_request_key(const char *uri, const char *body, size_t len);

/**
 * Sets whether this daemon coordinates.
 * @param is_primary it also decides when a blocked key is tried
 */
void blame_set_role(struct blame *bl, bool is_coordinator, bool is_primary);

/** Records a lost run of this daemon. begun_us is filled in. */
void blame_record_run(struct blame *bl, const struct blame_run *run,
    int64_t now_us, struct blame_out *out);

/**
 * Records an answer of this daemon's that has begun.
 * @param sent_us when the request was sent to its target
 */
void blame_record_begun(struct blame *bl, const struct blame_keys *keys,
    int64_t sent_us, int64_t now_us, struct blame_out *out);

/**
 * Decides whether a request may be sent to a target now.
 * @param will_send it is sent at once if it may; this uses up a trial
 * @param key receives the key for any verdict but kBlameNone
 */
enum blame_verdict blame_check(struct blame *bl, const struct blame_keys *keys,
    bool will_send, int64_t now_us, struct blame_out *out, uint64_t *key);

/** Asks the coordinators for their verdicts: this daemon has started, or they
 * have changed. */
void blame_ask(struct blame *bl, int64_t now_us, struct blame_out *out);

/** Handles a run that another daemon has reported. */
void blame_on_run(struct blame *bl, const struct blame_run *run, int64_t now_us,
    struct blame_out *out);

/**
 * Handles a note of another daemon.
 * @param from hash of its address
 * @return true if it blocks a key that was not blocked here
 */
bool blame_on_note(struct blame *bl, uint64_t from,
    const struct blame_note *note, int64_t now_us, struct blame_out *out);

/** Reaches verdicts, repeats them, and drops what is old; at least ten times a
 * second. */
void blame_tick(struct blame *bl, int64_t now_us, struct blame_out *out);

/** Takes the next key that this daemon itself has blocked since the last call.
 * @return false if there is none */
bool blame_take_case(struct blame *bl, struct blame_case *found);
void blame_case_clear(struct blame_case *found);

/** Number of blocked keys. */
int32_t blame_blocked_count(const struct blame *bl);

#endif

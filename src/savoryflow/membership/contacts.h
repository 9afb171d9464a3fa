#ifndef SAVORYFLOW_CONTACTS_H
#define SAVORYFLOW_CONTACTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	/** Period of a daemon's messages to its neighbours. */
	kContactPeriodUs = 500000,
	/** Neighbours that a daemon sends to. */
	kContactFanout = 4,
	/** Contacts in one message. */
	kContactsPerMessage = 128,
};

/** When a daemon was last known to run, and what it said of itself. */
struct contact {
	/** Hash of the daemon's session. */
	uint64_t session;
	/** Increases with each period of the daemon. */
	uint32_t sequence;
	/** Start of that period, by the clock of the daemon that knows this. */
	int64_t beat_us;
	bool is_leaving;
	bool is_store_unreachable;
	/** Time of the store's last answer to the daemon; 0 if unknown. */
	int64_t store_answered_us;
};

/**
 * Which daemons of a data centre run, learned by gossip: each daemon counts its
 * periods and sends the counts that it knows to a few neighbours. The messages
 * of a daemon do not depend on the size of the data centre, their number of
 * contacts is limited. No I/O, no clock.
 */
struct contacts;

struct contacts *contacts_new(void);
void contacts_free(struct contacts *ct);

/** Starts a period of this daemon; sets the sequence of its contact. */
void contacts_beat(struct contacts *ct, const struct contact *self);

/** Records a contact. @return true if it is newer than the known one */
bool contacts_record(struct contacts *ct, const struct contact *contact);

/**
 * Contacts to send to the neighbours: this daemon's own and the recent ones, or
 * some of these, others in each period, if there are too many.
 * @param out array of struct contact
 */
void contacts_select(const struct contacts *ct, int64_t now_us, GArray *out);

/**
 * Neighbours to which a daemon sends: its successor in the order of the
 * addresses' hashes, so that each daemon is heard by one at least, and others
 * chosen by rendezvous hashing, so that few messages reach all.
 * @param peers addresses of the other daemons of the data centre
 * @param out receives borrowed addresses
 */
void contacts_neighbours(
    const char *self, const GPtrArray *peers, GPtrArray *out);

/** Time without news after which a daemon may be down, for a number of daemons
 * in the data centre. */
int64_t contacts_timeout_us(int32_t daemons);

#endif

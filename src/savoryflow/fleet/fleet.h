#ifndef SAVORYFLOW_FLEET_H
#define SAVORYFLOW_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	/** Size of a target's, service's or data centre's name, with NUL. */
	kFleetNameMax = 256,
	/** Size of "IP:PORT", with NUL. */
	kFleetAddressMax = 64,
};

/** A target as listed by the platform. */
struct fleet_target {
	/** Name of the target; a restart may keep it, see started_ms. */
	char id[kFleetNameMax];
	char service[kFleetNameMax];
	char address[kFleetAddressMax];
	char data_center[kFleetNameMax];
	int32_t slots;
	bool is_draining;
	/** Start time, milliseconds since 1970. */
	int64_t started_ms;
	/** Version of the row. */
	int64_t version;
	/** Unlisted, but still used until this time; 0: listed. */
	int64_t expires_at_us;
};

/**
 * The listed targets. Versions only increase: a row with a lower version than
 * the known one is ignored. No I/O, no clock.
 */
struct fleet;

struct fleet *fleet_new(void);
void fleet_free(struct fleet *fl);

/** Applies a row. @return true if anything but the version changed */
bool fleet_apply(struct fleet *fl, const struct fleet_target *t);

/**
 * Records that a row was removed as of a version.
 * @param expires_at_us the target is still used until then: its row may have
 *        expired only because the store was unreachable
 * @return true if the target was listed until now
 */
bool fleet_remove(
    struct fleet *fl, const char *id, int64_t version, int64_t expires_at_us);

/**
 * Applies a complete list; targets that are not in it are removed.
 * @param list array of struct fleet_target
 * @param version the list includes all changes up to this version
 */
bool fleet_replace(struct fleet *fl, const GArray *list, int64_t version,
    int64_t expires_at_us);

/** Drops expired targets. @return true if there were any */
bool fleet_tick(struct fleet *fl, int64_t now_us);

/**
 * Records that a target said in an answer that it leaves. Rows of the same
 * start do not revoke this.
 * @param started_ms start of the target that said so
 * @return true if the target was not known to leave
 */
bool fleet_record_leaving(struct fleet *fl, const char *id, int64_t started_ms);

/** Finds a target by id; NULL if it is not known. */
const struct fleet_target *fleet_find(const struct fleet *fl, const char *id);

bool fleet_is_empty(const struct fleet *fl);

/** All known targets: array of const struct fleet_target *, borrowed. */
GPtrArray *fleet_list(const struct fleet *fl);

#endif

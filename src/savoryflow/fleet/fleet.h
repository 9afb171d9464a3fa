#ifndef SAVORYFLOW_FLEET_H
#define SAVORYFLOW_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	/** Longest name of a target, service or data centre, with its end. */
	kFleetNameMax = 96,
	/** Longest "IP:PORT" with its end. */
	kFleetAddressMax = 64,
};

/** A target as the platform's list says it. */
struct fleet_target {
	/** Name of one incarnation; a restart may keep it, see started_ms. */
	char id[kFleetNameMax];
	char service[kFleetNameMax];
	char address[kFleetAddressMax];
	char data_center[kFleetNameMax];
	int32_t slots;
	bool is_draining;
	/** Date of its start, milliseconds since 1970. */
	int64_t started_ms;
	/** Version of the row that says this. */
	int64_t version;
	/** Its row is gone, and it is kept until then; 0: it is listed. */
	int64_t expires_at_us;
};

/**
 * The targets that are listed. What is known moves forward only: a row with a
 * lower version than the known one changes nothing. No I/O, no clock.
 */
struct fleet;

struct fleet *fleet_new(void);
void fleet_free(struct fleet *fl);

/** Takes a row. @return true if something changed but the version */
bool fleet_apply(struct fleet *fl, const struct fleet_target *t);

/**
 * The row is gone as of a version.
 * @param expires_at_us until then the target is still used: its entry may have
 *        lapsed while the store was away
 * @return true if that was news
 */
bool fleet_remove(
    struct fleet *fl, const char *id, int64_t version, int64_t expires_at_us);

/**
 * Takes a whole list: what is known and not in it is gone.
 * @param list array of struct fleet_target
 * @param version the list shows all changes up to this one
 */
bool fleet_replace(struct fleet *fl, const GArray *list, int64_t version,
    int64_t expires_at_us);

/** Forgets targets whose time to be kept has passed. */
bool fleet_tick(struct fleet *fl, int64_t now_us);

/** A target by id; NULL if it is not known. */
const struct fleet_target *fleet_find(const struct fleet *fl, const char *id);

bool fleet_is_empty(const struct fleet *fl);

/** All known targets: array of const struct fleet_target *, borrowed. */
GPtrArray *fleet_list(const struct fleet *fl);

#endif

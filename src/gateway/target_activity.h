#ifndef SAVORYFLOW_GATEWAY_TARGET_ACTIVITY_H
#define SAVORYFLOW_GATEWAY_TARGET_ACTIVITY_H

#include <stdint.h>

/** Time of the last data received from each target, by target id. */
struct target_activity;

struct target_activity *target_activity_new(void);
void target_activity_free(struct target_activity *ta);

/** Records that a target has sent data. */
void target_activity_record(
    struct target_activity *ta, const char *target, int64_t now_us);

/** @return time of the target's last data, or -1 if none is known */
int64_t target_activity_last_us(
    const struct target_activity *ta, const char *target);

#endif

#ifndef SAVORYFLOW_LOG_EVENTS_H
#define SAVORYFLOW_LOG_EVENTS_H

/*
 * Catalogue of log events: constant, number, log4c priority, name, meaning.
 * Numbers are never reused. docs/EVENTS.md is printed from this table.
 */
#define SF_EVENTS(X)                                                           \
	X(kEvtSettingsReloaded, 1006, INFO, "settings_reloaded",               \
	    "The settings file was read again; the fields say what changed.")  \
	X(kEvtSettingsBad, 1007, WARN, "settings_unreadable",                  \
	    "The settings file cannot be used; the settings in force stay.")   \
	X(kEvtCallEnded, 1207, INFO, "call_ended",                             \
	    "A caller's request has its final answer; the fields say why it "  \
	    "is this one.")                                                    \
	X(kEvtCallRefused, 1208, INFO, "call_refused",                         \
	    "A caller's request was refused before a target was looked for.")  \
	X(kEvtCallerLeft, 1209, INFO, "caller_left",                           \
	    "The caller left before its whole answer was there; its target "   \
	    "was left.")                                                       \
	X(kEvtAttemptEnded, 1210, WARN, "attempt_ended",                       \
	    "An attempt at a target brought no whole answer; another may "     \
	    "follow.")                                                         \
	X(kEvtTargetListed, 1305, INFO, "target_listed",                       \
	    "A target's row says something new.")                              \
	X(kEvtTargetGone, 1306, INFO, "target_gone",                           \
	    "A target's row is gone.")                                         \
	X(kEvtTargetList, 1307, INFO, "target_list_read",                      \
	    "The whole list of targets was read and changed what is known.")   \
	X(kEvtRowUnreadable, 1308, WARN, "row_unreadable",                     \
	    "A row of the installation's lists cannot be used; it is passed "  \
	    "over.")                                                           \
	X(kEvtJobStarted, 1408, INFO, "job_started",                           \
	    "This daemon runs a batch job.")                                   \
	X(kEvtJobDropped, 1409, INFO, "job_dropped",                           \
	    "This daemon no longer runs a batch job.")                         \
	X(kEvtJobOrphaned, 1410, WARN, "job_orphaned",                         \
	    "The daemon that ran a batch job is gone; this one takes it "      \
	    "over.")                                                           \
	X(kEvtJobCall, 1411, INFO, "job_call",                                 \
	    "A caller's request about a batch job, or a step of its own, "     \
	    "went to the store.")                                              \
	X(kEvtItemRunEnded, 1412, INFO, "item_run_ended",                      \
	    "A run of an item ended without its result; it goes on later.")    \
	X(kEvtItemGivenUp, 1413, WARN, "item_given_up",                        \
	    "An item has no result and is not tried again.")                   \
	X(kEvtItemListed, 1414, INFO, "item_listed",                           \
	    "An item's result went to the store at its position.")             \
	X(kEvtJobForwarded, 1415, INFO, "job_forwarded",                       \
	    "A request about a job went to a peer that reaches the store.")    \
	X(kEvtJobsRemoved, 1416, INFO, "jobs_removed",                         \
	    "Finished jobs whose time to be kept is over were removed.")       \
	X(kEvtStoreRefused, 1503, WARN, "store_refused",                       \
	    "The store answered a call with a status that is not expected.")   \
	X(kEvtWatchDown, 1504, WARN, "watch_down",                             \
	    "A list of the installation cannot be read; peers are asked.")     \
	X(kEvtWatchUp, 1505, INFO, "watch_up",                                 \
	    "A list of the installation can be read.")                         \
	X(kEvtPoolLoad, 1606, INFO, "pool_load",                               \
	    "Load of a pool that this daemon arbitrates, once a second.")      \
	X(kEvtArbiterStarted, 1604, INFO, "arbiter_started",                   \
	    "This daemon arbitrates the slots of a pool.")                     \
	X(kEvtArbiterSilent, 1605, WARN, "arbiter_silent",                     \
	    "An arbiter did not answer in time; another one is asked.")        \
	X(kEvtStarted, 1001, INFO, "daemon_started",                           \
	    "The daemon listens for callers.")                                 \
	X(kEvtReady, 1002, INFO, "daemon_ready",                               \
	    "The daemon has a configuration and takes work.")                  \
	X(kEvtDrainStarted, 1003, INFO, "drain_started",                       \
	    "The daemon is unready and finishes what it has.")                 \
	X(kEvtStopped, 1004, INFO, "daemon_stopped",                           \
	    "The daemon has finished its work and exits.")                     \
	X(kEvtStartFailed, 1005, ERROR, "start_failed",                        \
	    "The daemon could not start; the error says why.")                 \
	X(kEvtConfigInForce, 1101, INFO, "config_in_force",                    \
	    "A newer configuration generation is in force here.")              \
	X(kEvtConfigAccepted, 1102, NOTICE, "config_accepted",                 \
	    "An operator's configuration was committed; see the audit trail.") \
	X(kEvtConfigRejected, 1103, WARN, "config_rejected",                   \
	    "A submitted configuration was refused.")                          \
	X(kEvtRequestDone, 1201, DEBUG, "request_done",                        \
	    "A caller's request has its final answer.")                        \
	X(kEvtRequestRefused, 1202, INFO, "request_refused",                   \
	    "A caller's request was refused.")                                 \
	X(kEvtAttemptFailed, 1203, WARN, "attempt_failed",                     \
	    "An attempt at a target failed; a retry may follow.")              \
	X(kEvtAnswerCrossed, 1204, WARN, "answer_crossed",                     \
	    "A target sent another attempt's answer; it was dropped.")         \
	X(kEvtStreamResumed, 1205, INFO, "stream_resumed",                     \
	    "A cut, silent or revoked stream goes on at its token index.")     \
	X(kEvtRequestCondemned, 1206, ERROR, "request_condemned",              \
	    "A request crashed two targets and is refused from now on.")       \
	X(kEvtTargetEjected, 1301, WARN, "target_ejected",                     \
	    "A target failed answers and gets no work until probed.")          \
	X(kEvtTargetLeaving, 1302, INFO, "target_leaving",                     \
	    "A target is leaving; it gets no new work.")                       \
	X(kEvtTargetBack, 1303, INFO, "target_back",                           \
	    "A target answers again and gets work.")                           \
	X(kEvtOrderSent, 1304, NOTICE, "target_order_sent",                    \
	    "A target took an order with a fencing number.")                   \
	X(kEvtJobAccepted, 1401, INFO, "job_accepted",                         \
	    "A batch job is durable and acknowledged.")                        \
	X(kEvtJobDone, 1402, INFO, "job_done",                                 \
	    "Every item of a batch job has its result.")                       \
	X(kEvtJobCancelled, 1403, INFO, "job_cancelled",                       \
	    "A batch job was cancelled.")                                      \
	X(kEvtChunkCommitted, 1404, DEBUG, "chunk_committed",                  \
	    "The results of a chunk are committed.")                           \
	X(kEvtChunkLost, 1405, WARN, "chunk_lost",                             \
	    "A chunk's results were dropped: its lease or job had ended.")     \
	X(kEvtSessionEnded, 1406, WARN, "session_ended",                       \
	    "A silent daemon's session was ended; its chunks are free.")       \
	X(kEvtSessionLost, 1407, WARN, "session_lost",                         \
	    "This daemon's own session was ended by another; it starts anew.") \
	X(kEvtStoreDown, 1501, WARN, "store_down",                             \
	    "The platform's table service or object store does not answer.")   \
	X(kEvtStoreUp, 1502, INFO, "store_up",                                 \
	    "The platform's table service answers again.")                     \
	X(kEvtMemberUp, 1601, INFO, "member_up", "A peer daemon is alive.")    \
	X(kEvtMemberDown, 1602, INFO, "member_down",                           \
	    "A peer daemon is silent or has left.")                            \
	X(kEvtArbiterFallback, 1603, WARN, "arbiter_fallback",                 \
	    "No arbiter answered in time; the local share is used.")

enum log_event_id {
#define X(id, number, level, name, text) id = number,
	SF_EVENTS(X)
#undef X
};

#endif

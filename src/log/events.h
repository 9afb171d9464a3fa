#ifndef SAVORYFLOW_LOG_EVENTS_H
#define SAVORYFLOW_LOG_EVENTS_H

/*
 * Catalogue of log events: constant, number, log4c priority, name, meaning.
 * Numbers are never reused. docs/EVENTS.md is printed from this table.
 */
#define SF_EVENTS(X)                                                           \
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

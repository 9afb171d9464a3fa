#ifndef SAVORYFLOW_LOG_EVENTS_H
#define SAVORYFLOW_LOG_EVENTS_H

/*
 * Catalogue of log events: constant, number, log4c priority, name, description.
 * Numbers are never reused. docs/EVENTS.md is generated from this table.
 */
#define SF_EVENTS(X)                                                           \
	X(kEvtBudgetShort, 1731, WARN, "budget_short",                         \
	    "Clients need more memory than the budget has left: bodies "       \
	    "wait, and idle clients are closed.")                              \
	X(kEvtBudgetFree, 1732, NOTICE, "budget_free",                         \
	    "Clients no longer wait for memory.")                              \
	X(kEvtClientRefused, 1733, INFO, "client_refused",                     \
	    "A request was refused before it was received; it did not run.")   \
	X(kEvtClientClosed, 1734, INFO, "client_closed",                       \
	    "A connection without a request was closed for others.")           \
	X(kEvtSettingsReloaded, 1006, INFO, "settings_reloaded",               \
	    "The settings file was reloaded; the fields list the changes.")    \
	X(kEvtSettingsBad, 1007, WARN, "settings_unreadable",                  \
	    "The settings file cannot be used; the settings in force stay.")   \
	X(kEvtCallEnded, 1207, INFO, "call_ended",                             \
	    "A caller's request has its final response; the fields give the "  \
	    "reason for it.")                                                  \
	X(kEvtCallRefused, 1208, INFO, "call_refused",                         \
	    "A caller's request was refused before a target was selected.")    \
	X(kEvtCallerLeft, 1209, INFO, "caller_left",                           \
	    "The caller disconnected before its response was complete; the "   \
	    "attempt at the target was cancelled.")                            \
	X(kEvtAttemptEnded, 1210, WARN, "attempt_ended",                       \
	    "An attempt at a target returned no complete response; another "   \
	    "may follow.")                                                     \
	X(kEvtAttemptSilent, 1216, INFO, "attempt_silent",                     \
	    "A target sent no event for the stall timeout; it keeps the "      \
	    "request until another one is granted.")                           \
	X(kEvtAttemptResumed, 1217, INFO, "attempt_resumed",                   \
	    "A silent target sent its next event before another one was "      \
	    "granted; the attempt goes on.")                                   \
	X(kEvtSurplusBytes, 1215, WARN, "surplus_bytes",                       \
	    "A connection to a target carried bytes that belong to no "        \
	    "request; it was closed.")                                         \
	X(kEvtAnswerCut, 1211, WARN, "answer_cut",                             \
	    "More arrived than an answer may have, than its caller reads, or " \
	    "than there is memory for; the connection was closed. The "        \
	    "request may have run.")                                           \
	X(kEvtAnswerBrokenOff, 1222, WARN, "answer_broken_off",                \
	    "A connection ended within the head or the body of an answer, or " \
	    "before the request was sent, or a line of its head or trailer "   \
	    "is malformed; nothing of it is used. The request may have run.")  \
	X(kEvtRequestCut, 1218, WARN, "request_cut",                           \
	    "The daemon closed a connection on which it had read a request "   \
	    "or a part of one, before the answer was complete; the first 32 "  \
	    "of a stop are logged.")                                           \
	X(kEvtRunLost, 1219, WARN, "run_lost",                                 \
	    "A run was interrupted before its answer began; the fields list "  \
	    "the shared parts of its prompt and whether the target ended.")    \
	X(kEvtPartBlocked, 1220, ERROR, "part_blocked",                        \
	    "Requests with a part of a prompt crash targets and are blocked "  \
	    "from now on; the fields list the targets and the daemons that "   \
	    "saw them end.")                                                   \
	X(kEvtBlockTold, 1221, WARN, "block_told",                             \
	    "Another daemon has blocked requests with a part of a prompt, or " \
	    "one request, as they crash targets.")                             \
	X(kEvtTargetListed, 1305, INFO, "target_listed",                       \
	    "A target's row is new or has changed.")                           \
	X(kEvtTargetGone, 1306, INFO, "target_gone",                           \
	    "A target's row was removed.")                                     \
	X(kEvtTargetList, 1307, INFO, "target_list_read",                      \
	    "The complete list of targets was read and differed from the "     \
	    "known one.")                                                      \
	X(kEvtRowUnreadable, 1308, WARN, "row_unreadable",                     \
	    "A row of the installation's lists, or of a job, is invalid or "   \
	    "another writer's; it is skipped, or its item is listed as given " \
	    "up.")                                                             \
	X(kEvtTargetRateNamed, 1309, INFO, "target_rate_named",                \
	    "An answer of a target names another rate of requests than the "   \
	    "ones before; the fields give both in thousandths a second.")      \
	X(kEvtTargetRateEnded, 1310, INFO, "target_rate_ended",                \
	    "An answer of a target no longer names a rate of requests.")       \
	X(kEvtTargetRateBad, 1311, WARN, "target_rate_unreadable",             \
	    "An answer of a target names a rate that is no number; what was "  \
	    "known of its rate stays.")                                        \
	X(kEvtJobStarted, 1408, INFO, "job_started",                           \
	    "This daemon runs a batch job.")                                   \
	X(kEvtJobDropped, 1409, INFO, "job_dropped",                           \
	    "This daemon no longer runs a batch job.")                         \
	X(kEvtJobOrphaned, 1410, WARN, "job_orphaned",                         \
	    "The daemon that ran a batch job is down; this one takes over "    \
	    "the job.")                                                        \
	X(kEvtJobTakeoverFailed, 1424, WARN, "job_takeover_failed",            \
	    "A step of the takeover of a batch job failed; it is tried again " \
	    "after the wait, with the next list of open jobs.")                \
	X(kEvtJobCall, 1411, INFO, "job_call",                                 \
	    "A request about a batch job, from a caller or a step of the job " \
	    "itself, went to the store.")                                      \
	X(kEvtItemRunEnded, 1412, INFO, "item_run_ended",                      \
	    "A run of an item ended without a result; the fields give the "    \
	    "answer's status, the counts and the wait before the next run.")   \
	X(kEvtItemGivenUp, 1413, WARN, "item_given_up",                        \
	    "An item failed: it has no result and is not retried.")            \
	X(kEvtItemBlocked, 1423, WARN, "item_blocked",                         \
	    "An item waits: it, or a part of its prompt, crashes targets.")    \
	X(kEvtItemListed, 1414, INFO, "item_listed",                           \
	    "An item's result was written to the store at its position.")      \
	X(kEvtJobForwarded, 1415, INFO, "job_forwarded",                       \
	    "A request about a job was forwarded to a peer that reaches the "  \
	    "store.")                                                          \
	X(kEvtJobAnswered, 1426, INFO, "job_answered",                         \
	    "The caller of a change to a job has its answer; the fields give " \
	    "the status, the step that gave it, and whether a copy of the "    \
	    "change may be applied, also later.")                              \
	X(kEvtJobCallerLeft, 1421, INFO, "job_caller_left",                    \
	    "The caller of a request about a job disconnected without an "     \
	    "answer; the step tells what was in progress.")                    \
	X(kEvtJobRouteGone, 1422, WARN, "job_route_gone",                      \
	    "The route of a job is gone; its items that wait are given up.")   \
	X(kEvtJobsRemoved, 1416, INFO, "jobs_removed",                         \
	    "Finished jobs were removed after their retention period.")        \
	X(kEvtStoreRefused, 1503, WARN, "store_refused",                       \
	    "The store responded to a call with an unexpected status.")        \
	X(kEvtStoreChangeFailed, 1506, INFO, "store_change_failed",            \
	    "The store refused a change, or its outcome is unknown; the "      \
	    "fields name its first row and how the call ended.")               \
	X(kEvtWatchDown, 1504, WARN, "watch_down",                             \
	    "A list of the installation cannot be read; peers are queried "    \
	    "instead.")                                                        \
	X(kEvtWatchUp, 1505, INFO, "watch_up",                                 \
	    "A list of the installation can be read.")                         \
	X(kEvtQuotaLoaded, 1417, INFO, "quota_loaded",                         \
	    "This daemon counts the waiting tokens of a route from now on.")   \
	X(kEvtQuotaAnswered, 1418, INFO, "quota_answered",                     \
	    "This daemon decided whether a job fits the limit of waiting "     \
	    "tokens.")                                                         \
	X(kEvtQuotaSilent, 1419, WARN, "quota_silent",                         \
	    "The daemon that counts the waiting tokens did not respond in "    \
	    "time.")                                                           \
	X(kEvtPoolLoad, 1606, INFO, "pool_load",                               \
	    "Load of a pool that this daemon arbitrates, logged once a "       \
	    "second.")                                                         \
	X(kEvtTargetStarts, 1610, INFO, "target_starts",                       \
	    "Starts in the last second at a target that names a rate, by its " \
	    "arbiter, and the online requests that may start now.")            \
	X(kEvtArbiterStarted, 1604, INFO, "arbiter_started",                   \
	    "This daemon is now the arbiter of a pool's slots.")               \
	X(kEvtArbiterSilent, 1605, WARN, "arbiter_silent",                     \
	    "An arbiter did not respond in time; another one is used.")        \
	X(kEvtSlotWaitLong, 1609, WARN, "slot_wait_long",                      \
	    "An online request waited long for the decision on its slot, or "  \
	    "past its slot deadline; at most 32 lines a second.")              \
	X(kEvtStarted, 1001, INFO, "daemon_started",                           \
	    "The daemon listens for callers.")                                 \
	X(kEvtReady, 1002, INFO, "daemon_ready",                               \
	    "The daemon has a configuration and accepts requests.")            \
	X(kEvtDrainStarted, 1003, INFO, "drain_started",                       \
	    "The daemon is no longer ready and finishes its active work.")     \
	X(kEvtStopped, 1004, INFO, "daemon_stopped",                           \
	    "The daemon has finished its work and exits; the fields count "    \
	    "its callers' connections when it closed them.")                   \
	X(kEvtStartFailed, 1005, ERROR, "start_failed",                        \
	    "The daemon could not start; the error field gives the reason.")   \
	X(kEvtConfigInForce, 1101, INFO, "config_in_force",                    \
	    "A newer configuration generation is in force on this daemon.")    \
	X(kEvtConfigRoute, 1109, INFO, "config_route_changed",                 \
	    "A route that the newer configuration adds, removes or changes.")  \
	X(kEvtConfigAccepted, 1102, NOTICE, "config_accepted",                 \
	    "An operator's configuration was committed; see the audit trail.") \
	X(kEvtConfigRejected, 1103, WARN, "config_rejected",                   \
	    "A submitted configuration was rejected.")                         \
	X(kEvtRequestDone, 1201, DEBUG, "request_done",                        \
	    "A caller's request has its final response.")                      \
	X(kEvtRequestRefused, 1202, INFO, "request_refused",                   \
	    "A caller's request was refused.")                                 \
	X(kEvtAttemptFailed, 1203, WARN, "attempt_failed",                     \
	    "An attempt at a target failed; a retry may follow.")              \
	X(kEvtAnswerCrossed, 1204, WARN, "answer_crossed",                     \
	    "A target, a peer or the store sent a response that belongs to "   \
	    "another request, or does not identify itself as this one's; it "  \
	    "was dropped.")                                                    \
	X(kEvtStreamResumed, 1205, INFO, "stream_resumed",                     \
	    "A cut, stalled or revoked stream resumed at its token index.")    \
	X(kEvtRequestCondemned, 1206, ERROR, "request_condemned",              \
	    "A request crashes targets and is blocked from now on.")           \
	X(kEvtTargetEjected, 1301, WARN, "target_ejected",                     \
	    "A target failed requests and gets none until a probe succeeds.")  \
	X(kEvtTargetLeaving, 1302, INFO, "target_leaving",                     \
	    "A target is leaving; it gets no new requests.")                   \
	X(kEvtTargetBack, 1303, INFO, "target_back",                           \
	    "A target responds again and gets requests.")                      \
	X(kEvtOrderSent, 1304, NOTICE, "target_order_sent",                    \
	    "A target accepted an order with a fencing number.")               \
	X(kEvtJobAccepted, 1401, INFO, "job_accepted",                         \
	    "A batch job is durable and acknowledged.")                        \
	X(kEvtJobNamed, 1427, INFO, "job_named",                               \
	    "The id of a job is too long for a row of the store: the job has " \
	    "this name in all other lines.")                                   \
	X(kEvtJobDone, 1402, INFO, "job_done",                                 \
	    "Every item of a batch job has its result.")                       \
	X(kEvtJobCancelled, 1403, INFO, "job_cancelled",                       \
	    "A batch job was cancelled.")                                      \
	X(kEvtChunkCommitted, 1404, DEBUG, "chunk_committed",                  \
	    "The results of a chunk are committed.")                           \
	X(kEvtChunkLost, 1405, WARN, "chunk_lost",                             \
	    "A chunk's results were dropped because its lease or job had "     \
	    "ended.")                                                          \
	X(kEvtChunkUnread, 1425, WARN, "chunk_unread",                         \
	    "The items of a chunk cannot be read from the store; it is tried " \
	    "again after the wait.")                                           \
	X(kEvtSessionEnded, 1406, WARN, "session_ended",                       \
	    "The session of an unresponsive daemon was ended; its chunks are " \
	    "released.")                                                       \
	X(kEvtSessionLost, 1407, WARN, "session_lost",                         \
	    "This daemon's session was ended by another daemon; it starts a "  \
	    "new one.")                                                        \
	X(kEvtStoreDown, 1501, WARN, "store_down",                             \
	    "The platform's table service or object store does not respond.")  \
	X(kEvtStoreUp, 1502, INFO, "store_up",                                 \
	    "The platform's table service responds again.")                    \
	X(kEvtMemberUp, 1601, INFO, "member_up", "A peer daemon is alive.")    \
	X(kEvtMembersUp, 1608, INFO, "members_up",                             \
	    "Many peer daemons are alive that were not known before.")         \
	X(kEvtMemberDown, 1602, INFO, "member_down",                           \
	    "A peer daemon is unresponsive or has left.")                      \
	X(kEvtProofStale, 1711, WARN, "proof_stale",                           \
	    "It is not certain any more that the routes in force are the "     \
	    "newest: requests that need a key are refused with 503.")          \
	X(kEvtProofFresh, 1712, INFO, "proof_fresh",                           \
	    "The routes in force are certainly the newest again.")             \
	X(kEvtConfigBehind, 1713, INFO, "config_behind",                       \
	    "A peer has a newer configuration, which is fetched from it.")     \
	X(kEvtAllowanceSilent, 1721, WARN, "allowance_silent",                 \
	    "The delegate or owner of a part of the teams' allowances did "    \
	    "not "                                                             \
	    "respond; another daemon is asked.")                               \
	X(kEvtAllowanceCut, 1722, WARN, "allowance_cut",                       \
	    "This daemon is without a delegate for a part of the teams: it "   \
	    "admits its equal share of their allowances.")                     \
	X(kEvtAllowanceTied, 1723, INFO, "allowance_tied",                     \
	    "This daemon has delegates for the allowances of all teams.")      \
	X(kEvtArbiterFallback, 1603, WARN, "arbiter_fallback",                 \
	    "No arbiter responded in time; the local share is used.")

enum log_event_id {
#define X(id, number, level, name, text) id = number,
	SF_EVENTS(X)
#undef X
};

#endif

#ifndef SAVORYFLOW_METRIC_H
#define SAVORYFLOW_METRIC_H

#include <glib.h>
#include <stdint.h>

/* Counters and gauges: constant, kind, name, help. */
#define SF_METRICS(X)                                                          \
	X(kMetRequests, counter, "savoryflow_requests_total",                  \
	    "Requests of callers.")                                            \
	X(kMetRefused, counter, "savoryflow_refused_total",                    \
	    "Requests refused before any byte was sent.")                      \
	X(kMetRefusedNoKey, counter, "savoryflow_refused_no_key_total",        \
	    "Requests refused without a key.")                                 \
	X(kMetRefusedBadKey, counter,                                          \
	    "savoryflow_refused_malformed_key_total",                          \
	    "Requests refused for malformed credentials.")                     \
	X(kMetRefusedUnknownKey, counter,                                      \
	    "savoryflow_refused_unknown_key_total",                            \
	    "Requests refused for a key that no team holds.")                  \
	X(kMetRefusedOutdated, counter, "savoryflow_refused_outdated_total",   \
	    "Requests refused as the configuration may be out of date.")       \
	X(kMetTokens, counter, "savoryflow_tokens_total", "Tokens relayed.")   \
	X(kMetAttempts, counter, "savoryflow_attempts_total",                  \
	    "Attempts at targets.")                                            \
	X(kMetConnects, counter, "savoryflow_target_connects_total",           \
	    "Connections made to targets and peers' fronts.")                  \
	X(kMetRetries, counter, "savoryflow_retries_total",                    \
	    "Attempts after the first.")                                       \
	X(kMetResumes, counter, "savoryflow_resumes_total",                    \
	    "Streams resumed at a token index.")                               \
	X(kMetCrossed, counter, "savoryflow_crossed_total",                    \
	    "Answers dropped for a foreign attempt id.")                       \
	X(kMetGrants, counter, "savoryflow_grants_total",                      \
	    "Grants given by arbiters of this daemon.")                        \
	X(kMetRevokes, counter, "savoryflow_revokes_total",                    \
	    "Batch grants revoked by arbiters of this daemon.")                \
	X(kMetFallbacks, counter, "savoryflow_arbiter_fallbacks_total",        \
	    "Attempts on the local share, no arbiter having answered.")        \
	X(kMetItems, counter, "savoryflow_batch_items_total",                  \
	    "Batch items finished and committed.")                             \
	X(kMetPeerSentMsgs, counter, "savoryflow_peer_sent_messages_total",    \
	    "Messages sent to peers.")                                         \
	X(kMetPeerRecvMsgs, counter,                                           \
	    "savoryflow_peer_received_messages_total",                         \
	    "Messages received from peers.")                                   \
	X(kMetGossipBytes, counter, "savoryflow_gossip_sent_bytes_total",      \
	    "Bytes of membership sent to peers.")                              \
	X(kMetGrantBytes, counter, "savoryflow_grant_sent_bytes_total",        \
	    "Bytes of grant messages sent to peers.")                          \
	X(kMetPeerRecvBytes, counter, "savoryflow_peer_received_bytes_total",  \
	    "Bytes received from peers.")                                      \
	X(kMetReadsConfig, counter, "savoryflow_store_reads_config_total",     \
	    "Reads of the platform for the configuration.")                    \
	X(kMetReadsBatch, counter, "savoryflow_store_reads_batch_total",       \
	    "Reads of the platform for batch jobs.")                           \
	X(kMetReadsSession, counter, "savoryflow_store_reads_session_total",   \
	    "Reads of the platform for sessions.")                             \
	X(kMetReadsIntent, counter, "savoryflow_store_reads_intent_total",     \
	    "Reads of the platform for calls that run at most once.")          \
	X(kMetReadsVms, counter, "savoryflow_store_reads_vms_total",           \
	    "Reads of the platform's list of VMs.")                            \
	X(kMetWritesConfig, counter, "savoryflow_store_writes_config_total",   \
	    "Writes to the platform for the configuration.")                   \
	X(kMetWritesBatch, counter, "savoryflow_store_writes_batch_total",     \
	    "Writes to the platform for batch jobs.")                          \
	X(kMetWritesSession, counter, "savoryflow_store_writes_session_total", \
	    "Writes to the platform for sessions.")                            \
	X(kMetWritesIntent, counter, "savoryflow_store_writes_intent_total",   \
	    "Writes to the platform for calls that run at most once.")         \
	X(kMetStoreBytes, counter, "savoryflow_store_control_bytes_total",     \
	    "Bytes to and from the platform for control.")                     \
	X(kMetReportBytes, counter, "savoryflow_target_report_bytes_total",    \
	    "Bytes of load reports read from targets.")                        \
	X(kMetControlCpuUs, counter, "savoryflow_control_cpu_us_total",        \
	    "Processor time of the control threads, microseconds.")            \
	X(kMetAllowanceRefused, counter, "savoryflow_allowance_refused_total", \
	    "Requests refused as their team's allowance was used up.")         \
	X(kMetAllowanceEqualShare, counter,                                    \
	    "savoryflow_allowance_equal_share_total",                          \
	    "Requests admitted from the equal share, without a delegate.")     \
	X(kMetAllowanceRefunds, counter, "savoryflow_allowance_refunds_total", \
	    "Requests given back to allowances as they did not run.")          \
	X(kMetAllowanceTied, gauge, "savoryflow_allowance_tied_shards",        \
	    "Parts of the teams, of 4, whose delegate answers this daemon.")   \
	X(kMetAllowanceOwned, gauge, "savoryflow_allowance_owned_shards",      \
	    "Parts of the teams, of 4, whose rates this daemon leases.")       \
	X(kMetAllowanceTeams, gauge, "savoryflow_allowance_teams",             \
	    "Teams remembered for their allowance, in all roles.")             \
	X(kMetBudgetRefused, counter, "savoryflow_budget_refused_total",       \
	    "Requests refused before they were received, for lack of memory "  \
	    "or progress, or for their size.")                                 \
	X(kMetBudgetCut, counter, "savoryflow_budget_cut_total",               \
	    "Answers cut because their callers did not read them.")            \
	X(kMetBudgetClosed, counter, "savoryflow_budget_closed_total",         \
	    "Connections without a request closed for others.")                \
	X(kMetBudgetWaits, counter, "savoryflow_budget_waits_total",           \
	    "Times that a body was not read on, for lack of memory.")          \
	X(kMetBudgetLimit, gauge, "savoryflow_budget_limit_bytes",             \
	    "Memory that all clients may use; 0: no limit.")                   \
	X(kMetBudgetConnections, gauge, "savoryflow_budget_connections_bytes", \
	    "Memory charged for connections.")                                 \
	X(kMetBudgetHeads, gauge, "savoryflow_budget_heads_bytes",             \
	    "Memory charged for heads of requests.")                           \
	X(kMetBudgetReading, gauge, "savoryflow_budget_reading_bytes",         \
	    "Memory charged for bodies that are being received.")              \
	X(kMetBudgetHeld, gauge, "savoryflow_budget_held_bytes",               \
	    "Memory charged for bodies of requests that run.")                 \
	X(kMetBudgetUnread, gauge, "savoryflow_budget_unread_bytes",           \
	    "Memory charged for answers that were not read.")                  \
	X(kMetBudgetAnswers, gauge, "savoryflow_budget_answers_bytes",         \
	    "Memory charged for answers that targets are sending.")            \
	X(kMetActiveCalls, gauge, "savoryflow_active_calls",                   \
	    "Calls without their final answer.")                               \
	X(kMetGeneration, gauge, "savoryflow_config_generation",               \
	    "Configuration generation in force.")                              \
	X(kMetRefusedStale, counter, "savoryflow_refused_stale_proof_total",   \
	    "Requests refused because no recent read showed that their key "   \
	    "is not revoked.")                                                 \
	X(kMetRefusedRevoked, counter, "savoryflow_refused_revoked_key_total", \
	    "Requests refused before they were sent: their key had been "      \
	    "revoked while they waited.")                                      \
	X(kMetProofReads, counter, "savoryflow_proof_reads_total",             \
	    "Reads of the configuration beside its feed.")                     \
	X(kMetProofAsks, counter, "savoryflow_proof_asks_total",               \
	    "Questions to peers whether the configuration is the newest.")     \
	X(kMetProofAge, gauge, "savoryflow_proof_age_ms",                      \
	    "Age of the proof that the configuration is the newest; -1: "      \
	    "none, 0 without a bound.")                                        \
	X(kMetBlockedKeys, gauge, "savoryflow_blocked_keys",                   \
	    "Requests and parts of prompts that crash targets.")               \
	X(kMetMembersAlive, gauge, "savoryflow_members_alive",                 \
	    "Daemons believed alive, this one included.")

enum metric_id {
#define X(id, kind, name, help) id,
	SF_METRICS(X)
#undef X
	    kMetCount,
};

/** Adds to a counter or gauge; thread-safe, lock-free. */
void metric_add(enum metric_id id, int64_t n);

/** Sets a gauge; thread-safe, lock-free. */
void metric_set(enum metric_id id, int64_t value);

int64_t metric_get(enum metric_id id);

/** Appends all metrics in the Prometheus text format. */
void metric_print(GString *out);

#endif

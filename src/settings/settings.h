#ifndef SAVORYFLOW_SETTINGS_H
#define SAVORYFLOW_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/*
 * Settings of the daemon: TEXT(field, flag, default, help) and
 * NUM(field, flag, default, minimum, maximum, unit, help). The environment
 * variable of a flag "a-b" is SAVORYFLOW_A_B. docs/SETTINGS.md and the help
 * text are printed from this table.
 */
#define SF_SETTINGS(TEXT, NUM)                                                 \
	TEXT(name, "name", "",                                                 \
	    "name of this daemon; the peer address if empty")                  \
	TEXT(listen, "listen", "127.0.0.1:8080",                               \
	    "address for callers and operators, IP:PORT")                      \
	TEXT(peer_listen, "peer-listen", "127.0.0.1:9080",                     \
	    "address for other daemons, IP:PORT")                              \
	TEXT(peers, "peers", "", "first peers, IP:PORT separated by commas")   \
	TEXT(region, "region", "r1", "region of this VM, up to 255 bytes")     \
	TEXT(data_center, "data-center", "dc1",                                \
	    "data centre of this VM, up to 255 bytes")                         \
	TEXT(platform_url, "platform-url", "http://127.0.0.1:7000",            \
	    "the platform's table, object and VM list services")               \
	TEXT(operator_key_sha256, "operator-key-sha256", "",                   \
	    "SHA-256 (hex) of the key that may submit configurations at any "  \
	    "time")                                                            \
	TEXT(node_file, "node-file", "",                                       \
	    "JSON file with settings by their flags' names; read again when "  \
	    "it changes")                                                      \
	TEXT(adapter, "adapter", "",                                           \
	    "adapter to the installation: empty for the daemon's own API, "    \
	    "or platform")                                                     \
	TEXT(front_listen, "front-listen", "127.0.0.1:8081",                   \
	    "adapter: address for callers, IP:PORT")                           \
	TEXT(ready_listen, "ready-listen", "127.0.0.1:8082",                   \
	    "adapter: address that tells whether the daemon is ready")         \
	TEXT(metrics_listen, "metrics-listen", "",                             \
	    "adapter: address of the metrics; empty for none")                 \
	TEXT(log_level, "log-level", "info",                                   \
	    "lowest level logged: debug, info, notice, warn, error")           \
	NUM(body_max_bytes, "body-max-bytes", 1048576, 1024, 67108864,         \
	    "bytes", "largest body of one online request")                     \
	NUM(job_max_items, "job-max-items", 100000, 1, 1000000, "items",       \
	    "most items in one batch job")                                     \
	NUM(chunk_items, "chunk-items", 256, 1, 10000, "items",                \
	    "items of a job that are leased and committed together")           \
	NUM(batch_inflight_items, "batch-inflight-items", 64, 0, 4096,         \
	    "items", "batch items that this daemon runs at once")              \
	NUM(online_deadline_ms, "online-deadline-ms", 120000, 100, 3600000,    \
	    "ms", "time for an online request when its caller gives none")     \
	NUM(stall_timeout_ms, "stall-timeout-ms", 3000, 100, 600000, "ms",     \
	    "time without progress after which another target is asked")       \
	NUM(client_timeout_s, "client-timeout-s", 30, 1, 3600, "s",            \
	    "a caller that sends or reads nothing for so long is dropped")     \
	NUM(grant_timeout_ms, "grant-timeout-ms", 40, 1, 10000, "ms",          \
	    "time to wait for an arbiter before the local share is used")      \
	NUM(session_period_ms, "session-period-ms", 10000, 50, 600000, "ms",   \
	    "period of the session heartbeat in the table service")            \
	NUM(session_lease_ms, "session-lease-ms", 30000, 100, 3600000, "ms",   \
	    "a session without heartbeat for so long is ended")                \
	NUM(config_poll_ms, "config-poll-ms", 5000, 20, 600000, "ms",          \
	    "period of the look at the configuration's head")                  \
	NUM(batch_poll_ms, "batch-poll-ms", 5000, 20, 600000, "ms",            \
	    "period of the look for batch work")                               \
	NUM(gossip_period_ms, "gossip-period-ms", 1000, 10, 60000, "ms",       \
	    "period of the membership message to one peer")                    \
	NUM(member_timeout_ms, "member-timeout-ms", 4000, 50, 600000, "ms",    \
	    "a peer without news for so long is taken as down")                \
	NUM(vms_poll_ms, "vms-poll-ms", 2000, 20, 600000, "ms",                \
	    "period of the look at the platform's list of VMs")                \
	NUM(report_period_ms, "report-period-ms", 1000, 20, 60000, "ms",       \
	    "period of the load report of each target arbitrated here")        \
	NUM(drain_notice_ms, "drain-notice-ms", 3000, 0, 600000, "ms",         \
	    "time a leaving daemon still takes requests, for the balancer")    \
	NUM(drain_timeout_ms, "drain-timeout-ms", 120000, 0, 3600000, "ms",    \
	    "time from SIGTERM to the exit; its last 15%, 0.2 to 1.2 s, are "  \
	    "for sending answers")                                             \
	NUM(job_retention_ms, "job-retention-ms", 3600000, 1000, 604800000,    \
	    "ms",                                                              \
	    "adapter: time that a finished job is kept, from its "             \
	    "submission")                                                      \
	NUM(janitor_period_ms, "janitor-period-ms", 30000, 100, 3600000, "ms", \
	    "adapter: period of the removal of finished jobs")                 \
	NUM(revocation_bound_ms, "revocation-bound-ms", 0, 0, 600000, "ms",    \
	    "adapter: requests with a revoked key run no later than this "     \
	    "after its revocation; 0: no bound")                               \
	NUM(cpu_millicores, "cpu-millicores", 1000, 1, 1024000, "millicores",  \
	    "processor capacity of this VM; the daemons with the most take "   \
	    "the roles that serve others")                                     \
	NUM(workers, "workers", 4, 1, 64, "threads",                           \
	    "threads for requests that wait for the platform")                 \
	NUM(memory_mb, "memory-mb", 0, 0, 1048576, "MiB",                      \
	    "memory of this VM; what callers, and answers of targets, may "    \
	    "occupy is limited by it; 0: no limit")                            \
	NUM(max_descriptors, "max-descriptors", 0, 0, 1048576, "descriptors",  \
	    "descriptors of this process; the callers' connections are "       \
	    "limited by it; 0: no limit")

enum {
	/** Longest name of a region or data centre, in bytes. */
	kSettingsNameBytesMax = 255,
};

struct settings {
#define TEXT(field, flag, def, help)		  char *field;
#define NUM(field, flag, def, lo, hi, unit, help) int64_t field;
	SF_SETTINGS(TEXT, NUM)
#undef TEXT
#undef NUM
	/** Values of the settings file by flag; NULL without a file. */
	GHashTable *file_values;
	/** Modification time of the file at the last check, or 0. */
	int64_t file_mtime_ns;
};

/**
 * Reads the settings from flags, SAVORYFLOW_* variables and the settings file;
 * a flag overrides its variable, which overrides the file.
 * @param argc, argv arguments after the subcommand
 * @param environ variables as NAME=VALUE, NULL-terminated
 * @return NULL and a typed error naming setting, value and range on failure
 */
struct settings *settings_parse(
    int argc, char **argv, char **environ, GError **err);

/**
 * Reads the settings file again, if there is one, and logs what changed. The
 * log level takes effect at once, other settings at the next start. An invalid
 * file is logged and changes nothing.
 */
void settings_reload_and_log(struct settings *set);

/** True if the settings file has changed since the previous call. */
bool settings_file_changed(struct settings *set);

/** Frees the settings; NULL is allowed. */
void settings_free(struct settings *set);

/** Prints the flags for --help. */
void settings_print_help(FILE *out);

/** Prints docs/SETTINGS.md. */
void settings_print_markdown(FILE *out);

/**
 * Parses "IP:PORT" with an IPv4 address; ip holds 64 bytes.
 * @return false if malformed
 */
bool settings_parse_address(const char *addr, char *ip, uint16_t *port);

#endif

#ifndef TEST_UNIT_FIXTURES_H
#define TEST_UNIT_FIXTURES_H

#include <jansson.h>

/* A small valid document; the weight of its team distinguishes documents. */
inline json_t *
SmallDocument(int weight)
{
	return json_pack(
	    "{s:i,s:{s:{s:s,s:b,s:i}},s:{s:{s:s,s:s}},"
	    "s:{s:{s:s,s:s,s:s,s:s,s:b,s:i}},s:{s:{s:s,s:b,s:i,s:i,s:i}}}",
	    "schema", 1, "services", "assistant", "kind", "engine",
	    "idempotent", 1, "tail_budget_ms", 57, "models", "chat", "service",
	    "assistant", "version", "v1", "targets", "engine-1", "url",
	    "http://127.0.0.1:9", "service", "assistant", "region", "north",
	    "data_center", "dc1", "checks_fencing", 0, "slots", 8, "teams",
	    "students", "key_sha256",
	    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
	    "operator", 0, "rate_per_s", 0, "concurrency", 0, "weight", weight);
}

#endif

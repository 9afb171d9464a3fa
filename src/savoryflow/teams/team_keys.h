#ifndef SAVORYFLOW_TEAM_KEYS_H
#define SAVORYFLOW_TEAM_KEYS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	/** Bytes of a keyed digest (HMAC-SHA-256), and of its secret. */
	kTeamDigestBytes = 32,
	/** Longest key of a team, in bytes. */
	kTeamKeyBytesMax = 512,
	/** A digest in hex digits, with NUL. */
	kTeamDigestHexMax = 2 * kTeamDigestBytes + 1,
};

/** Keyed digest of a team's key. */
struct team_digest {
	uint8_t bytes[kTeamDigestBytes];
};

/** Writes a digest in hex digits. @param hex kTeamDigestHexMax bytes */
void team_digest_print(const struct team_digest *digest, char *hex);

/** @return false unless the text is a digest in hex digits */
bool team_digest_parse(const char *hex, struct team_digest *digest);

/** Compares in a time that does not depend on the digests. */
bool team_digest_equal(
    const struct team_digest *a, const struct team_digest *b);

/**
 * The keys of all teams of one configuration, as keyed digests: the keys
 * themselves are not kept. Not changed once it is shared.
 */
struct team_keys;

/** @param secret of kTeamDigestBytes bytes, copied */
struct team_keys *team_keys_new(const uint8_t *secret);
void team_keys_free(struct team_keys *keys);

/** The secret, borrowed. */
const uint8_t *team_keys_secret(const struct team_keys *keys);

/** Digest of a key under the secret. */
struct team_digest team_keys_digest(
    const struct team_keys *keys, const char *key, size_t len);

/** Adds a digest; a digest that another team has stays with that team. */
void team_keys_add(
    struct team_keys *keys, const struct team_digest *digest, const char *team);

/**
 * Name of the team that holds a key, borrowed.
 * @return NULL if no team holds it
 */
const char *team_keys_find(
    const struct team_keys *keys, const struct team_digest *digest);

#endif

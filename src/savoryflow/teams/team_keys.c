/* Keyed digests of the teams' keys. */
#include "savoryflow/teams/team_keys.h"

#include <string.h>

struct team_key {
	struct team_digest digest;
	char *team;
};

struct team_keys {
	uint8_t secret[kTeamDigestBytes];
	/** struct team_key by digest. */
	GHashTable *by_digest;
};

static void
team_key_free(void *p)
{
	struct team_key *key = p;

	g_free(key->team);
	g_free(key);
}

static guint
digest_hash(gconstpointer p)
{
	guint hash;

	memcpy(&hash, p, sizeof(hash));
	return hash;
}

/* Takes the same time for all digests, so that the time of a lookup does not
 * tell how much of a guess is right. */
bool
team_digest_equal(const struct team_digest *a, const struct team_digest *b)
{
	uint8_t diff = 0;

	for (size_t i = 0; i < kTeamDigestBytes; i++)
		diff |= a->bytes[i] ^ b->bytes[i];
	return diff == 0;
}

static gboolean
digest_equal(gconstpointer a, gconstpointer b)
{
	return team_digest_equal(a, b);
}

void
team_digest_print(const struct team_digest *digest, char *hex)
{
	static const char digits[] = "0123456789abcdef";

	for (size_t i = 0; i < kTeamDigestBytes; i++) {
		*hex++ = digits[digest->bytes[i] >> 4];
		*hex++ = digits[digest->bytes[i] & 15];
	}
	*hex = '\0';
}

bool
team_digest_parse(const char *hex, struct team_digest *digest)
{
	if (strlen(hex) != kTeamDigestHexMax - 1)
		return false;
	for (size_t i = 0; i < kTeamDigestBytes; i++) {
		int high = g_ascii_xdigit_value(hex[2 * i]);
		int low = g_ascii_xdigit_value(hex[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		digest->bytes[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

struct team_keys *
team_keys_new(const uint8_t *secret)
{
	struct team_keys *keys = g_new0(struct team_keys, 1);

	memcpy(keys->secret, secret, kTeamDigestBytes);
	keys->by_digest = g_hash_table_new_full(
	    digest_hash, digest_equal, NULL, team_key_free);
	return keys;
}

void
team_keys_free(struct team_keys *keys)
{
	if (keys == NULL)
		return;
	g_hash_table_unref(keys->by_digest);
	g_free(keys);
}

const uint8_t *
team_keys_secret(const struct team_keys *keys)
{
	return keys->secret;
}

struct team_digest
team_keys_digest(const struct team_keys *keys, const char *key, size_t len)
{
	GHmac *hmac =
	    g_hmac_new(G_CHECKSUM_SHA256, keys->secret, kTeamDigestBytes);
	struct team_digest digest = {{0}};
	gsize n = kTeamDigestBytes;

	g_hmac_update(hmac, (const guchar *)key, (gssize)len);
	g_hmac_get_digest(hmac, digest.bytes, &n);
	g_hmac_unref(hmac);
	return digest;
}

void
team_keys_add(
    struct team_keys *keys, const struct team_digest *digest, const char *team)
{
	struct team_key *key;

	if (g_hash_table_contains(keys->by_digest, digest))
		return;
	key = g_new(struct team_key, 1);
	key->digest = *digest;
	key->team = g_strdup(team);
	g_hash_table_insert(keys->by_digest, &key->digest, key);
}

const char *
team_keys_find(const struct team_keys *keys, const struct team_digest *digest)
{
	const struct team_key *key =
	    g_hash_table_lookup(keys->by_digest, digest);

	return key != NULL ? key->team : NULL;
}

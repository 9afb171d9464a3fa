/* Proofs that go with forwarded requests in place of keys. */
#include "savoryflow/teams/forward_proof.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "os/text_copy.h"

enum { kDecimal = 10 };

/* Keys in headers have no line breaks, so that the digest of a key is never a
 * proof, and the parts cannot run into each other. */
static struct team_digest
claim_digest(const struct team_keys *keys, const struct forward_claim *claim)
{
	char *text = g_strdup_printf("forward\n%s\n%s\n%s\n%s", claim->attempt,
	    claim->method, claim->path, claim->team);
	struct team_digest digest = team_keys_digest(keys, text, strlen(text));

	g_free(text);
	return digest;
}

void
forward_proof_print(const struct team_keys *keys, int64_t version,
    const struct forward_claim *claim, char *text)
{
	struct team_digest digest = claim_digest(keys, claim);
	char hex[kTeamDigestHexMax];
	char *proof;

	team_digest_print(&digest, hex);
	proof = g_strdup_printf("%" PRId64 " %s %s", version, hex, claim->team);
	text_copy_or_none(text, kForwardProofMax, proof);
	g_free(proof);
}

bool
forward_proof_parse(const char *text, struct forward_field *field)
{
	char hex[kTeamDigestHexMax] = "";
	char *end;
	size_t len;

	if (!g_ascii_isdigit(*text))
		return false;
	errno = 0;
	field->version = strtoll(text, &end, kDecimal);
	if (errno != 0 || *end != ' ')
		return false;
	len = strcspn(end + 1, " ");
	if (len >= sizeof(hex))
		return false;
	memcpy(hex, end + 1, len);
	if (!team_digest_parse(hex, &field->digest))
		return false;
	/* Trailing blanks of a field get lost: none before an empty name. */
	field->team = end + 1 + len;
	if (*field->team == ' ')
		field->team++;
	else if (*field->team != '\0')
		return false;
	return true;
}

bool
forward_proof_holds(const struct team_keys *keys,
    const struct forward_claim *claim, const struct team_digest *digest)
{
	struct team_digest wanted = claim_digest(keys, claim);

	return team_digest_equal(&wanted, digest);
}

#ifndef SAVORYFLOW_FORWARD_PROOF_H
#define SAVORYFLOW_FORWARD_PROOF_H

#include "savoryflow/teams/team_keys.h"

/*
 * Proof that a daemon with the same configuration has identified the caller of
 * a request that it forwards: the request carries the team and no key. The
 * proof is a keyed digest under the secret of the keys' digests.
 */

enum {
	/** Longest field, with NUL: version, digest, team and two blanks. */
	kForwardProofMax = 400,
};

/** What a proof binds together. */
struct forward_claim {
	/** Id of this sending of the request. */
	const char *attempt;
	const char *method;
	/** Path and query. */
	const char *path;
	/** "": the caller belongs to no team. */
	const char *team;
};

/** A field with a proof, split. */
struct forward_field {
	/** Of the configuration that the sender has. */
	int64_t version;
	struct team_digest digest;
	/** In the text of the field. */
	const char *team;
};

/**
 * Writes the field that goes with a forwarded request.
 * @param version of the configuration that the keys belong to
 * @param text kForwardProofMax bytes
 */
void forward_proof_print(const struct team_keys *keys, int64_t version,
    const struct forward_claim *claim, char *text);

/** Splits a field. @return false if the text is no such field */
bool forward_proof_parse(const char *text, struct forward_field *field);

/** Whether a digest proves a claim; in constant time. */
bool forward_proof_holds(const struct team_keys *keys,
    const struct forward_claim *claim, const struct team_digest *digest);

#endif

// Proofs of forwarded requests: one that holds for another request, team or
// configuration would let a caller without a key act for a team.
#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "savoryflow/teams/forward_proof.h"
}

namespace
{

struct Proof : ::testing::Test {
	Proof()
	{
		uint8_t secret[kTeamDigestBytes];

		memset(secret, 1, sizeof(secret));
		keys = team_keys_new(secret);
		memset(secret, 2, sizeof(secret));
		other_keys = team_keys_new(secret);
	}
	~Proof() override
	{
		team_keys_free(keys);
		team_keys_free(other_keys);
	}
	std::string
	Print(const forward_claim &claim, int64_t version = 7) const
	{
		char text[kForwardProofMax];

		forward_proof_print(keys, version, &claim, text);
		return text;
	}

	team_keys *keys, *other_keys;
	const forward_claim claim = {
	    "00c0ffee00c0ffee", "GET", "/jobs/a?after=0", "alpha b"};
};

TEST_F(Proof, AProofHoldsForItsClaimOnly)
{
	std::string text = Print(claim);
	forward_field field;

	ASSERT_TRUE(forward_proof_parse(text.c_str(), &field)) << text;
	EXPECT_EQ(7, field.version);
	EXPECT_STREQ("alpha b", field.team);
	EXPECT_TRUE(forward_proof_holds(keys, &claim, &field.digest));
	EXPECT_FALSE(forward_proof_holds(other_keys, &claim, &field.digest));
	const forward_claim others[] = {
	    {"00c0ffee00c0ffef", "GET", "/jobs/a?after=0", "alpha b"},
	    {"00c0ffee00c0ffee", "DELETE", "/jobs/a?after=0", "alpha b"},
	    {"00c0ffee00c0ffee", "GET", "/jobs/a?after=1", "alpha b"},
	    {"00c0ffee00c0ffee", "GET", "/jobs/a?after=0", "alpha"},
	    {"00c0ffee00c0ffee", "GET", "/jobs/a?after=0", ""},
	    {"00c0ffee00c0ffee", "GET", "/jobs/a?after=0\nalpha b", ""},
	};
	for (const auto &c : others)
		EXPECT_FALSE(forward_proof_holds(keys, &c, &field.digest))
		    << c.method << c.path << c.team;
	for (size_t i = 0; i < kTeamDigestBytes; i++) {
		team_digest changed = field.digest;

		changed.bytes[i] ^= 1;
		EXPECT_FALSE(forward_proof_holds(keys, &claim, &changed)) << i;
	}
}

TEST_F(Proof, ACallerWithoutATeamIsProvenToo)
{
	forward_claim none = {"1", "POST", "/b/", ""};
	std::string text = Print(none);
	forward_field field;

	/* HTTP drops blanks at the end of a field. */
	text.erase(text.find_last_not_of(' ') + 1);
	ASSERT_TRUE(forward_proof_parse(text.c_str(), &field)) << text;
	EXPECT_STREQ("", field.team);
	EXPECT_TRUE(forward_proof_holds(keys, &none, &field.digest));
}

TEST_F(Proof, OtherTextsAreNoProofs)
{
	std::string hex(2 * kTeamDigestBytes, 'a');
	const std::string cases[] = {"", " ", "7", "7 ", "7 " + hex.substr(1),
	    "7 " + hex + "a", "7 " + hex + "a alpha", hex, hex + " alpha",
	    "-7 " + hex + " alpha", "+7 " + hex + " alpha",
	    "x " + hex + " alpha", "7  " + hex + " alpha",
	    "7 g" + hex.substr(1) + " alpha",
	    "99999999999999999999 " + hex + " alpha"};
	forward_field field;

	for (const auto &text : cases)
		EXPECT_FALSE(forward_proof_parse(text.c_str(), &field)) << text;
	EXPECT_TRUE(forward_proof_parse(("7 " + hex + " a").c_str(), &field));
}

/* Guards against the digest of a key that serves as a proof. */
TEST_F(Proof, ADigestOfAKeyIsNoProof)
{
	std::string key = "alpha b";
	team_digest digest = team_keys_digest(keys, key.data(), key.size());

	EXPECT_FALSE(forward_proof_holds(keys, &claim, &digest));
}

} // namespace

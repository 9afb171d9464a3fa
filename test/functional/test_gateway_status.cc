// What an operator is told of a daemon: parts that are not in use are left out.
#include <jansson.h>

#include "functional/gateway_fixture.h"

namespace
{

struct GatewayStatus : Gateway {
	int metrics_port = FreePort();

	json_t *
	Fetch()
	{
		Reply reply = Http("GET",
		    "http://" + LoopbackAddress(metrics_port) + "/v1/status");

		EXPECT_EQ(200, reply.status);
		return json_loads(reply.body.c_str(), 0, nullptr);
	}
};

/* Guards against a status without the parts that are in use, and against parts
 * of features that the deployment does not have. */
TEST_F(GatewayStatus, ListsThePartsThatAreInUse)
{
	const struct {
		std::vector<std::string> flags;
		const char *teams;
		std::vector<std::string> parts, missing;
	} cases[] = {
	    {{}, "", {"daemon", "configuration", "store"},
		{"freshness", "allowances", "budget"}},
	    {{"--revocation-bound-ms=5000", "--memory-mb=200",
		 "--max-descriptors=2000"},
		R"(,"tenants":[{"name":"blue","api_keys":["k-1"],
		   "rate_per_s":50,"burst_size":50}])",
		{"daemon", "configuration", "store", "freshness", "allowances",
		    "budget"},
		{}},
	};

	for (const auto &c : cases) {
		daemons.clear();
		front_ports.clear();
		ready_ports.clear();
		peer_ports.clear();
		metrics_port = FreePort();
		daemon_flags = c.flags;
		daemon_flags.push_back(
		    "--metrics-listen=" + LoopbackAddress(metrics_port));
		teams = c.teams;
		Configure(daemon_flags.size() > 1 ? 2 : 1);
		AddDaemon();
		ASSERT_TRUE(Eventually([&] { return ReadyStatus(0) == 200; }));
		json_t *doc = Fetch();
		for (const std::string &part : c.parts)
			EXPECT_NE(nullptr, json_object_get(doc, part.c_str()))
			    << part;
		for (const std::string &part : c.missing)
			EXPECT_EQ(nullptr, json_object_get(doc, part.c_str()))
			    << part;
		json_decref(doc);
	}
}

} // namespace

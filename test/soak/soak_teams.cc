/* Teams of the soak: each request has a key of its team. */
#include "soak/soak.h"

namespace
{

const int kKeysPerTeam = 2;

/* Requests and items of one caller, or job, are of one team: the id up to its
 * second dash. */
std::string
Root(const std::string &id)
{
	size_t first = id.find('-');

	return first == std::string::npos
	    ? id
	    : id.substr(0, id.find('-', first + 1));
}

int
TeamOf(const std::string &id, int teams)
{
	return (int)(g_str_hash(Root(id).c_str()) % (guint)teams);
}

std::string
TeamName(int team)
{
	return "team-" + std::to_string(team);
}

std::string
Key(int team, unsigned number)
{
	return "sk-" + std::to_string(team) + "-" +
	    std::to_string(number % kKeysPerTeam);
}

std::string
Field(const json_t *headers, const char *name)
{
	std::string start = std::string(name) + ": ";
	json_t *text;
	size_t i;

	json_array_foreach(headers, i,
	    text) if (g_ascii_strncasecmp(json_string_value(text),
			  start.c_str(),
			  start.size()) == 0) return json_string_value(text) +
	    start.size();
	return "";
}

} // namespace

std::string
Soak::TeamsDocument() const
{
	std::string doc;

	for (int t = 0; t < opts_.teams; t++) {
		doc += std::string(t > 0 ? "," : "") + "{\"name\":\"" +
		    TeamName(t) + "\",\"api_keys\":[";
		for (unsigned k = 0; k < kKeysPerTeam; k++)
			doc += std::string(k > 0 ? "," : "") + "\"" +
			    Key(t, k) + "\"";
		doc += "]}";
	}
	return opts_.teams > 0 ? ",\"tenants\":[" + doc + "]" : "";
}

/* Key of the team that an id belongs to; salt selects one of its keys. */
Headers
Soak::KeyOf(const std::string &id, unsigned salt) const
{
	if (opts_.teams == 0)
		return {};
	return {"Authorization: Bearer " + Key(TeamOf(id, opts_.teams), salt)};
}

Headers
Soak::RequestHeaders(const std::string &id) const
{
	Headers headers = KeyOf(id, g_str_hash(id.c_str()) / 7);

	headers.insert(
	    headers.end(), {"Host: a.example", "X-Attempt-Id: " + id});
	/* A team that a caller names itself means nothing. */
	if (opts_.teams > 0)
		headers.emplace_back("X-Tenant: " +
		    TeamName((TeamOf(id, opts_.teams) + 1) % opts_.teams));
	return headers;
}

/* Another team's key, or none, must not read a job nor end it. */
void
Soak::TryAsAnotherTeam(size_t daemon, const std::string &id)
{
	int other = (TeamOf(id, opts_.teams) + 1) % opts_.teams;

	for (const char *method : {"GET", "DELETE"}) {
		long known =
		    Http(method, FrontUrl(daemon) + "/api/lots/" + id, "",
			{"Host: a.example",
			    "Authorization: Bearer " + Key(other, 0)},
			kCallTimeoutS)
			.status;
		long unknown =
		    Http(method, FrontUrl(daemon) + "/api/lots/" + id, "",
			{"Host: a.example", "Authorization: Bearer sk-unknown"},
			kCallTimeoutS)
			.status;

		if (known == 200 || known == 401 || unknown == 200)
			Fail("TEAM: " + std::string(method) + " of " + id +
			    " by others: " + std::to_string(known) + ", " +
			    std::to_string(unknown));
	}
}

void
Soak::CheckHeads(const std::string &text)
{
	json_t *doc = json_loads(text.c_str(), 0, nullptr);
	json_t *head;
	size_t i;

	json_array_foreach(doc, i, head)
	{
		json_t *headers = json_object_get(head, "headers");
		std::string id = Field(headers, "X-Attempt-Id");
		std::string team = Field(headers, "X-Tenant");

		if (!id.empty() && team != TeamName(TeamOf(id, opts_.teams)))
			Fail("TEAM: " + id + " ran for '" + team + "'");
	}
	if (doc == nullptr)
		Fail("TEAM: a worker tells no heads");
	json_decref(doc);
}

/* No key left the daemons, and each run was for its team. */
void
Soak::CheckTeams()
{
	std::string rows =
	    Http("GET", "http://" + LoopbackAddress(store_port_) + "/dump", "",
		{}, kCallTimeoutS)
		.body;

	if (opts_.teams == 0)
		return;
	if (rows.find("sk-") != std::string::npos)
		Fail("KEY: in a row");
	for (int port : worker_ports_) {
		std::string heads =
		    Http("GET", "http://" + LoopbackAddress(port) + "/heads",
			"", {}, kCallTimeoutS)
			.body;

		if (heads.find("sk-") != std::string::npos)
			Fail("KEY: at a worker");
		CheckHeads(heads);
	}
	for (auto &d : daemons_)
		if (d && d->Output().find("sk-") != std::string::npos)
			Fail("KEY: in a log");
}

/* Requests about jobs that a peer answers. */
#include "functional/gateway_fixture.h"
#include "platform/late_copies.h"

namespace
{

const char kForwarded[] = "Savoryflow-Forwarded: ";

/* Answers with the path, and the id of a forwarded request. */
std::string
PeerAnswer(const std::string &request)
{
	size_t path = request.find(' ') + 1;
	size_t at = request.find(kForwarded);
	std::string id = request.substr(at, request.find("\r\n", at) + 2 - at);
	std::string body = request.substr(path, request.find(' ', path) - path);

	return "HTTP/1.1 200 OK\r\n" + id +
	    "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	    body;
}

TEST_F(Gateway, APeersAnswerToAnotherForwardedRequestIsNotPassedOn)
{
	CopyingServer peer(PeerAnswer);
	std::string row = "{\"front\":\"" + peer.Address() +
	    "\",\"region\":\"r\",\"data_center\":\"dc1\",\"session\":\"s1\","
	    "\"cpu\":1000,\"beat\":1,\"period_us\":30000000}";

	StartReadyFleet(1, 1);
	PutRow("daemon", "127.0.0.1:1", row.c_str());
	ASSERT_TRUE(daemons[0]->WaitLine("\"name\":\"member_up\""));
	PostToStore("/fault", "{\"turned_away\":\"d0\"}");
	ASSERT_TRUE(daemons[0]->WaitLine("\"name\":\"store_down\""));
	for (Copy copy : {Copy::kNone, Copy::kIdle, Copy::kAfterNextRequest}) {
		peer.CopyNext(copy);
		Reply a = Send(0, "GET", "/api/lots/a", "", "a");
		EXPECT_EQ("/api/lots/a", a.body);
		if (copy == Copy::kIdle)
			peer.AwaitIdleCopy();
		for (const char *path : {"/api/lots/b", "/api/lots/c"}) {
			Reply r = Send(0, "GET", path, "", path);

			EXPECT_TRUE(r.status == 503 || r.body == path)
			    << path << ": " << r.status << " " << r.body;
		}
	}
}

} // namespace

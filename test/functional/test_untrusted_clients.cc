/* Groups of untrusted clients: a process keeps its memory and descriptors
 * within its limits, lives, and answers an ordinary request afterwards. */
#include <thread>

#include "functional/clients.h"
#include "functional/gateway_fixture.h"

namespace
{

const int kMemoryMb = 64;
/* 0.8 of the memory of the VM. */
const long kPeakMaxKib = kMemoryMb * 1024L * 8 / 10;
const int kDescriptorsMax = 256;
const int kBodyBytesMax = 4 * 1024 * 1024;
const int kClients = 48;
/* More connections than the process may have descriptors. */
const int kIdleClients = 300;
const size_t kLargeChunkBytes = 65536;
/* More than any body may have, and less than what stalls the test. */
const size_t kExcessBytes = 16 * 1024 * 1024;
const size_t kByteChunksBytes = 1024 * 1024;
/* An answer of 7.1 MB; sockets hold up to 4 MB of it. */
const int kEventBytes = 900;
const int kEvents = 7800;

std::string
Chunk(size_t bytes)
{
	char size[32];

	g_snprintf(size, sizeof(size), "%zx\r\n", bytes);
	return size + std::string(bytes, 'x') + "\r\n";
}

const char kChunked[] = "Transfer-Encoding: chunked\r\n\r\n";

ClientScript
LargeChunks(const std::string &head)
{
	ClientScript s;

	s.head = head + kChunked;
	s.part = Chunk(kLargeChunkBytes);
	s.parts_bytes = s.part.size() * (kBodyBytesMax / kLargeChunkBytes - 1);
	return s;
}

ClientScript
ByteChunks(const std::string &head)
{
	ClientScript s;

	s.head = head + kChunked;
	s.part = Chunk(1);
	s.parts_bytes = s.part.size() * kByteChunksBytes;
	return s;
}

ClientScript
ExcessAnnounced(const std::string &head)
{
	ClientScript s;

	s.head = head + "Content-Length: 1000000000\r\n\r\n";
	s.part = std::string(kLargeChunkBytes, 'x');
	s.parts_bytes = kExcessBytes;
	return s;
}

ClientScript
ExcessChunked(const std::string &head)
{
	ClientScript s = LargeChunks(head);

	s.parts_bytes = kExcessBytes;
	return s;
}

ClientScript
StoppedShort(const std::string &head)
{
	ClientScript s;

	s.head = head + "Content-Length: " + std::to_string(kBodyBytesMax) +
	    "\r\n\r\n";
	s.part = std::string(kLargeChunkBytes, 'x');
	s.parts_bytes = (size_t)kBodyBytesMax - 1;
	return s;
}

ClientScript
EndlessHead(const std::string &head)
{
	ClientScript s;

	s.head = head;
	s.part = "X-Filler: " + std::string(100, 'x') + "\r\n";
	s.parts_bytes = kExcessBytes;
	return s;
}

ClientScript
UnfinishedHead(const std::string &head)
{
	ClientScript s;

	s.head = head + "X-Filler: " + std::string(12000, 'x');
	return s;
}

/* Only connects. */
ClientScript
Idle(const std::string &)
{
	return ClientScript();
}

struct Kind {
	const char *name;
	ClientScript (*make)(const std::string &head);
	int count;
};

const Kind kKinds[] = {
    {"large_chunks", LargeChunks, kClients},
    {"byte_chunks", ByteChunks, kClients},
    {"excess_announced", ExcessAnnounced, kClients},
    {"excess_chunked", ExcessChunked, kClients},
    {"stopped_short", StoppedShort, kClients},
    {"endless_head", EndlessHead, kClients},
    {"unfinished_head", UnfinishedHead, kClients},
    {"idle", Idle, kIdleClients},
};

enum Listener { kFront, kJobs, kReady, kMetrics };

struct UntrustedCase {
	Listener listener;
	const char *listener_name;
	const Kind *kind;
};

/* Name in the messages of gtest. */
void
PrintTo(const Kind &k, std::ostream *out)
{
	*out << k.name;
}

void
PrintTo(const UntrustedCase &c, std::ostream *out)
{
	*out << c.listener_name << "_" << c.kind->name;
}

std::vector<UntrustedCase>
AllCases()
{
	const struct {
		Listener listener;
		const char *name;
	} listeners[] = {
	    {kFront, "front"},
	    {kJobs, "jobs"},
	    {kReady, "ready"},
	    {kMetrics, "metrics"},
	};
	std::vector<UntrustedCase> all;

	for (const auto &l : listeners)
		for (const Kind &k : kKinds)
			all.push_back({l.listener, l.name, &k});
	return all;
}

struct UntrustedFixture : Gateway {
	int metrics_port = FreePort();
	int descriptors_peak = 0;
	int calls = 0;

	void
	SetUp() override
	{
		Gateway::SetUp();
		RaiseLimits();
		body_bytes_max = kBodyBytesMax;
		daemon_flags = {"--memory-mb=" + std::to_string(kMemoryMb),
		    "--max-descriptors=" + std::to_string(kDescriptorsMax),
		    "--metrics-listen=" + LoopbackAddress(metrics_port)};
		StartReadyFleet(1, 1);
	}

	static std::string
	Head(const char *method, const std::string &path)
	{
		return std::string(method) + " " + path +
		    " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: u\r\n";
	}

	int
	PortOf(Listener listener)
	{
		switch (listener) {
		case kReady:
			return ready_ports[0];
		case kMetrics:
			return metrics_port;
		default:
			return front_ports[0];
		}
	}

	static std::string
	HeadOf(Listener listener)
	{
		return Head("POST", listener == kJobs ? "/b/u" : "/q/u");
	}

	void
	Play(ClientGroup *group)
	{
		group->Play([this] {
			descriptors_peak = std::max(
			    descriptors_peak, daemons[0]->OpenDescriptors());
		});
	}

	/* The bounds, while the clients are still connected. */
	void
	ExpectWithinLimits()
	{
		long peak_kib = daemons[0]->PeakMemoryKib();

		EXPECT_FALSE(daemons[0]->HasExited());
		EXPECT_GT(peak_kib, 0);
		EXPECT_LT(peak_kib, kPeakMaxKib);
		EXPECT_LT(descriptors_peak, kDescriptorsMax);
		EXPECT_TRUE(Eventually([&] {
			std::string id = "o" + std::to_string(calls++);

			return Call(0, "/q/" + id, id, 3).body ==
			    ExpectedStream("/q/" + id, 3);
		}));
		EXPECT_TRUE(Eventually([&] { return ReadyStatus(0) == 200; }));
		EXPECT_EQ(200,
		    Http("GET",
			"http://" + LoopbackAddress(metrics_port) + "/metrics")
			.status);
		printf("peak %ld KiB (bound %ld), descriptors %d (bound %d)\n",
		    peak_kib, kPeakMaxKib, descriptors_peak, kDescriptorsMax);
	}
};

struct UntrustedClients : UntrustedFixture,
			  ::testing::WithParamInterface<UntrustedCase> {
};

/* Guards against a process that runs out of memory or descriptors because of
 * what clients send. */
TEST_P(UntrustedClients, SendersStayWithinTheLimits)
{
	const UntrustedCase &c = GetParam();
	ClientGroup group(PortOf(c.listener), c.kind->make(HeadOf(c.listener)),
	    c.kind->count);

	Play(&group);
	ExpectWithinLimits();
}

INSTANTIATE_TEST_SUITE_P(Senders, UntrustedClients,
    ::testing::ValuesIn(AllCases()),
    [](const ::testing::TestParamInfo<UntrustedCase> &info) {
	    return std::string(info.param.listener_name) + "_" +
		info.param.kind->name;
    });

struct UntrustedReaders : UntrustedFixture {
	static ClientScript
	Reader(size_t read_bytes)
	{
		std::string body = RequestBody(kEvents);
		ClientScript s;

		s.head = Head("POST", "/q/" + std::string(kEventBytes, 'p')) +
		    "Content-Length: " + std::to_string(body.size()) +
		    "\r\n\r\n" + body;
		s.receive_bytes = 4096;
		s.read_bytes = read_bytes;
		s.repeats_refused = true;
		return s;
	}
};

/* Guards against a process that runs out of memory because of answers that
 * clients do not read. */
TEST_F(UntrustedReaders, StreamsThatAreNotReadStayWithinTheLimits)
{
	ClientGroup group(front_ports[0], Reader(0), kClients);

	Play(&group);
	ExpectWithinLimits();
}

/* The same for answers that are read slowly. */
TEST_F(UntrustedReaders, StreamsThatAreReadSlowlyStayWithinTheLimits)
{
	ClientGroup group(front_ports[0], Reader(16), kClients);

	Play(&group);
	ExpectWithinLimits();
}

/* Guards against kinds of clients that are bounded one by one, but not
 * together. */
TEST_F(UntrustedReaders, AllKindsTogetherStayWithinTheLimits)
{
	const int clients = 3;
	const Listener listeners[] = {kFront, kJobs, kReady, kMetrics};
	std::vector<std::unique_ptr<ClientGroup>> groups;
	std::vector<std::thread> players;

	for (Listener l : listeners)
		for (const Kind &k : kKinds)
			groups.emplace_back(new ClientGroup(
			    PortOf(l), k.make(HeadOf(l)), clients));
	groups.emplace_back(
	    new ClientGroup(front_ports[0], Reader(0), clients));
	for (size_t i = 1; i < groups.size(); i++)
		players.emplace_back([&, i] { groups[i]->Play(); });
	Play(groups[0].get());
	for (auto &t : players)
		t.join();
	ExpectWithinLimits();
}

struct UntrustedJobs : UntrustedFixture {
	/* A job of almost the largest size. */
	ClientScript
	LargeJob()
	{
		std::string body = JobBody("j", 1, std::string(2900000, 'x'));
		ClientScript s;

		s.head = Head("POST", "/b/u") +
		    "Content-Length: " + std::to_string(body.size()) +
		    "\r\n\r\n";
		s.end = body;
		return s;
	}
};

/* Guards against a process that runs out of memory because of complete jobs
 * that arrive at once. */
TEST_F(UntrustedJobs, CompleteJobsStayWithinTheLimits)
{
	ClientGroup group(front_ports[0], LargeJob(), kClients);

	Play(&group);
	ExpectWithinLimits();
}

/* Guards against a process that runs out of memory because of jobs' bodies that
 * are read back by many at once, and not taken. */
TEST_F(UntrustedJobs, ReadsOfJobsStayWithinTheLimits)
{
	const std::string body(2900000, 'x');
	ClientScript s;

	ASSERT_EQ(202,
	    Send(0, "POST", "/b/j", JobBody("j", 1, body), "large").status);
	s.head = Head("GET", "/api/items/large?id=j0") + "\r\n";
	s.receive_bytes = 4096;
	ASSERT_EQ(body, Send(0, "GET", "/api/items/large?id=j0", "", "r").body);
	ClientGroup group(front_ports[0], s, kClients);

	Play(&group);
	ExpectWithinLimits();
}

struct UntrustedRefusals : UntrustedFixture {
	/* All that a client reads that sends on after its refusal. */
	std::string
	AnswerTo(ClientScript script)
	{
		script.read_bytes = 4096;
		ClientGroup group(front_ports[0], script, 1);

		Play(&group);
		EXPECT_FALSE(group.All()[0]->IsOpen());
		return group.All()[0]->Answer();
	}
};

/* Guards against a reset that destroys the refusal, and against a connection
 * that is read on after it. */
TEST_F(UntrustedRefusals, ARefusalArrivesThoughTheClientSendsOn)
{
	const struct {
		const char *name;
		ClientScript (*make)(const std::string &head);
	} cases[] = {
	    {"announced", ExcessAnnounced},
	    {"chunked", ExcessChunked},
	};

	for (const auto &c : cases) {
		std::string answer = AnswerTo(c.make(HeadOf(kFront)));

		EXPECT_EQ(0u, answer.find("HTTP/1.1 413 "))
		    << c.name << " " << answer;
		EXPECT_NE(
		    std::string::npos, answer.find("Savoryflow-Ran: no\r\n"))
		    << c.name;
		EXPECT_NE(std::string::npos, answer.find("body_too_large"))
		    << c.name;
	}
	EXPECT_EQ(0, CountRuns("u"));
}

/* Guards against a stop that fails because of bodies that wait for memory, and
 * of clients that were refused and send on. */
TEST_F(UntrustedRefusals, ADaemonStopsWhileBodiesWait)
{
	drain_timeout_ms = 1500;
	daemons[0].reset();
	StartDaemon(0);
	ASSERT_TRUE(Eventually([&] {
		return ReadyStatus(0) == 200 &&
		    Call(0, "/q/ready", "ready", 1).status == 200;
	}));
	ClientGroup bodies(
	    front_ports[0], LargeChunks(HeadOf(kFront)), kClients / 2);
	ClientGroup excess(
	    front_ports[0], ExcessChunked(HeadOf(kFront)), kClients / 2);

	std::thread sender([&] { bodies.Play(); });
	std::thread other([&] { excess.Play(); });
	EXPECT_TRUE(daemons[0]->WaitLine("\"name\":\"client_refused\""));
	daemons[0]->Signal(SIGTERM);
	EXPECT_EQ(0, daemons[0]->Wait());
	sender.join();
	other.join();
}

/* Guards against limits that a single caller inside the limits reaches on the
 * smallest VM. */
TEST_F(UntrustedFixture, TheLargestBodyIsServedOnTheSmallestVm)
{
	daemon_flags = {"--memory-mb=120", "--max-descriptors=3075"};
	daemons[0].reset();
	StartDaemon(0);
	ASSERT_TRUE(Eventually([&] {
		return ReadyStatus(0) == 200 &&
		    Call(0, "/q/ready", "ready", 1).status == 200;
	}));
	std::string body = RequestBody(3);

	body += std::string(kBodyBytesMax - body.size(), ' ');
	EXPECT_EQ(ExpectedStream("/q/large", 3),
	    Send(0, "POST", "/q/large", body, "large").body);
}

/* Guards against a stream that is cut because nobody reads it and looks whole,
 * and against a target that stays occupied by it. */
TEST_F(UntrustedReaders, AStreamThatIsCutDoesNotLookWhole)
{
	const std::string last_chunk = "\r\n0\r\n\r\n";
	std::string body = RequestBody(10 * kEvents);
	std::string text;
	char buf[65536];
	ssize_t n;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in addr = {};
	std::string head = Head("POST", "/q/" + std::string(kEventBytes, 'p')) +
	    "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	    body;

	addr.sin_family = AF_INET;
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	addr.sin_port = htons((uint16_t)front_ports[0]);
	ASSERT_EQ(0, connect(fd, (struct sockaddr *)&addr, sizeof(addr)));
	ASSERT_EQ((ssize_t)head.size(),
	    send(fd, head.data(), head.size(), MSG_NOSIGNAL));
	ASSERT_TRUE(daemons[0]->WaitLine("\"name\":\"answer_cut\""));
	ASSERT_TRUE(daemons[0]->WaitLine("\"name\":\"caller_left\""));
	while ((n = recv(fd, buf, sizeof(buf), 0)) > 0)
		text.append(buf, (size_t)n);
	close(fd);
	EXPECT_EQ(std::string::npos, text.find(last_chunk));
	/* The target has as many slots. */
	for (int i = 0; i < 4; i++) {
		std::string id = "f" + std::to_string(i);

		EXPECT_EQ(200, Call(0, "/q/" + id, id, 3).status);
	}
}

/* The daemon's own API, with a key that it knows. */
struct UntrustedApiFixture : ::testing::Test {
	static FleetOptions
	Options()
	{
		FleetOptions options;

		options.daemons = 1;
		options.flags = {"--memory-mb=" + std::to_string(kMemoryMb),
		    "--max-descriptors=" + std::to_string(kDescriptorsMax),
		    "--body-max-bytes=" + std::to_string(kBodyBytesMax)};
		return options;
	}

	static int
	PortOf(const std::string &url)
	{
		return atoi(url.substr(url.rfind(':') + 1).c_str());
	}

	void
	PlayWithinLimits(ClientGroup *group)
	{
		Process &daemon = *fleet.daemons[0];
		int descriptors_peak = 0;

		group->Play([&] {
			descriptors_peak = std::max(
			    descriptors_peak, daemon.OpenDescriptors());
		});
		printf("peak %ld KiB (bound %ld), descriptors %d (bound %d)\n",
		    daemon.PeakMemoryKib(), kPeakMaxKib, descriptors_peak,
		    kDescriptorsMax);
		EXPECT_FALSE(daemon.HasExited());
		EXPECT_GT(daemon.PeakMemoryKib(), 0);
		EXPECT_LT(daemon.PeakMemoryKib(), kPeakMaxKib);
		EXPECT_LT(descriptors_peak, kDescriptorsMax);
		EXPECT_TRUE(Eventually([&] {
			return fleet.Chat(0, "hello", false).status == 200;
		}));
	}

	Fleet fleet{Options()};
};

struct UntrustedApi : UntrustedApiFixture, ::testing::WithParamInterface<Kind> {
};

TEST_P(UntrustedApi, SendersStayWithinTheLimits)
{
	ClientGroup group(PortOf(fleet.DaemonUrl(0)),
	    GetParam().make("POST /v1/call/booking/u HTTP/1.1\r\nHost: a\r\n"
			    "Authorization: Bearer students-key\r\n"),
	    GetParam().count);

	PlayWithinLimits(&group);
}

/* Guards against uploads whose items wait in memory until a chunk of them is
 * complete. */
TEST_F(UntrustedApiFixture, UploadsOfJobsStayWithinTheLimits)
{
	const size_t text_bytes = 60000;
	const size_t lines = 100;
	std::string line =
	    "{\"id\":\"i\",\"body\":{\"messages\":[{\"role\":\"user\","
	    "\"content\":\"" +
	    std::string(text_bytes, 'x') + "\"}]}}\n";
	char size[32];
	ClientScript s;

	g_snprintf(size, sizeof(size), "%zx\r\n", line.size());
	s.head = std::string("POST /v1/batches?service=assistant HTTP/1.1\r\n"
			     "Host: a\r\n"
			     "Authorization: Bearer studios-key\r\n") +
	    kChunked;
	s.part = size + line + "\r\n";
	s.parts_bytes = s.part.size() * lines;
	ClientGroup group(PortOf(fleet.DaemonUrl(0)), s, kClients);

	PlayWithinLimits(&group);
}

INSTANTIATE_TEST_SUITE_P(Senders, UntrustedApi, ::testing::ValuesIn(kKinds),
    [](const ::testing::TestParamInfo<Kind> &info) {
	    return std::string(info.param.name);
    });

} // namespace

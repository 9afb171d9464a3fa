/*
 * Randomized soak test of the gateway with fault injection: runs the real
 * processes on loopback, injects faults from outside, and checks the guarantees
 * against what callers and workers observe.
 *
 *   soak --seed=N --seconds=S [--daemons=D] [--workers=W] [--data-centers=C]
 *        [--overlap] [--logs=DIR] [--teams=T]
 *
 * With teams, each request has a key; readers also try keys of other teams.
 *
 * The seed determines the injected faults. Prints one line per violation and
 * ends with "N passed, N failed".
 */
#include "soak/soak.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
SleepMs(int ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void
Soak::Fail(const std::string &what)
{
	std::lock_guard<std::mutex> guard(lock_);

	printf("seed %u: %s\n", opts_.seed, what.c_str());
	fflush(stdout);
	failed_++;
}

int
Soak::Run()
{
	std::vector<std::thread> threads;
	int64_t calm_us;
	size_t refused = 0;
	size_t accepted = 0;

	if (opts_.overlap)
		PlanFaults();
	StartAll();
	CheckDaemonsServe();
	for (unsigned i = 0; i < 4; i++)
		threads.emplace_back(
		    &Soak::RunCaller, this, opts_.seed * 100 + i);
	for (unsigned i = 0; i < (opts_.overlap ? 8U : 1U); i++)
		threads.emplace_back(
		    &Soak::RunSubmitter, this, opts_.seed * 100 + 50 + i);
	if (opts_.overlap)
		threads.emplace_back(
		    &Soak::RunReader, this, opts_.seed * 100 + 90);
	if (opts_.overlap)
		PlayFaults();
	else
		InjectFaults();
	stopping_ = true;
	for (auto &thread : threads)
		thread.join();
	ClearFaults();
	calm_us = NowUs();
	CheckDaemonsServe();
	CheckJobs(calm_us);
	CheckRuns();
	CheckTeams();
	for (auto &j : jobs_) {
		refused += j.second.WasRefused();
		accepted += j.second.is_accepted;
	}
	printf("seed %u: %zu requests, %d served, %zu jobs, %zu accepted, "
	       "%zu refused at each attempt, %zu faults\n",
	    opts_.seed, attempts_.size(), served_, jobs_.size(), accepted,
	    refused, plan_.size());
	if (failed_ > 0)
		WriteLogs();
	printf("%d passed, %d failed\n", failed_ == 0 ? 1 : 0,
	    failed_ == 0 ? 0 : 1);
	return failed_ == 0 ? 0 : 1;
}

int
main(int argc, char **argv)
{
	char logs[256] = "";
	Options o;

	for (int i = 1; i < argc; i++) {
		if (strcmp(argv[i], "--overlap") == 0) {
			o.overlap = true;
			continue;
		}
		if (sscanf(argv[i], "--seed=%u", &o.seed) == 1 ||
		    sscanf(argv[i], "--seconds=%d", &o.seconds) == 1 ||
		    sscanf(argv[i], "--daemons=%d", &o.daemons) == 1 ||
		    sscanf(argv[i], "--workers=%d", &o.workers) == 1 ||
		    sscanf(argv[i], "--data-centers=%d", &o.data_centers) ==
			1 ||
		    sscanf(argv[i], "--teams=%d", &o.teams) == 1 ||
		    sscanf(argv[i], "--logs=%255s", logs) == 1)
			continue;
		fprintf(stderr,
		    "usage: soak [--seed=N] [--seconds=S] [--daemons=D] "
		    "[--workers=W] [--data-centers=C] [--overlap] "
		    "[--logs=DIR] [--teams=T]\n");
		return 2;
	}
	o.logs = logs;
	signal(SIGPIPE, SIG_IGN);
	return Soak(o).Run();
}

#ifndef TEST_HISTORY_CHECKER_H
#define TEST_HISTORY_CHECKER_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/*
 * Checks what callers, operators and stand-ins observed against the guarantees:
 * each answer is complete and the caller's own; no item is lost or duplicated;
 * no result follows a cancellation; no keyed call runs twice or although it was
 * refused; a leaving target gets no new work; a configuration is in force
 * everywhere in time and never reverts.
 */

/** One line of a history. Times are monotonic, in microseconds. */
struct HistoryEvent {
	std::string kind;
	std::map<std::string, std::string> fields;
	int64_t time_us = 0;

	std::string
	Get(const std::string &name) const
	{
		auto it = fields.find(name);

		return it != fields.end() ? it->second : "";
	}

	int64_t
	Int(const std::string &name) const
	{
		std::string text = Get(name);

		return text.empty() ? 0 : std::stoll(text);
	}
};

/*
 * Kinds:
 *  job_accepted  job items         acknowledged to the submitter
 *  job_cancelled job               acknowledged
 *  job_done      job               reported by the job's status
 *  result        job index pass    one line of results, read in this pass
 *  chat_sent     request
 *  chat_answer   request expected got   a complete answer
 *  chat_cut      request           the answer ended early without an error
 *  call_sent     key               a request with this key
 *  refused       key ran           an error answer, with Savoryflow-Ran
 *  call_run      key               a plain service ran the call
 *  target_leaving target           first report that it is leaving
 *  target_run    target            the target received new work
 *  config_accepted generation digest
 *  config_seen   daemon generation digest
 */
using History = std::vector<HistoryEvent>;

/** @return one sentence per violation; empty if all guarantees hold */
std::vector<std::string> CheckHistory(const History &history);

#endif

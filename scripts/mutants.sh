#!/usr/bin/env bash
# Mutation test: disables one mechanism at a time in a copy of the sources and
# checks that a test fails for each. Exits 0 only if every mutant is detected.
# Usage: mutants.sh [NAME]
set -u
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp -r CMakeLists.txt src include platform test bench examples proto "$work"
cmake -S "$work" -B "$work/build" -G Ninja >/dev/null
ninja -C "$work/build" >/dev/null || exit 1
failed=0

# mutant NAME FILE SED-EXPRESSION TEST-BINARY TEST-FILTER
mutant() {
	[ -z "${only:-}" ] || [ "$only" = "$1" ] || return 0
	cp "$2" "$work/original"
	sed -i -E "$3" "$work/$2"
	if cmp -s "$work/original" "$work/$2"; then
		echo "mutant $1: the expression matches nothing"
		failed=1
		return
	fi
	if ! ninja -C "$work/build" "$4" savoryflow >/dev/null 2>&1; then
		echo "mutant $1: does not build"
		failed=1
	elif SF_BIN=$work/build/savoryflow SF_STANDIN=$work/build/standin \
	    timeout 120 "$work/build/$4" --gtest_filter="$5" >"$work/out" 2>&1
	then
		echo "mutant $1: NOT DETECTED by $5"
		failed=1
	else
		echo "mutant $1: detected by $5: $(grep -m1 -oE '(ran twice|ran though refused|item twice|item lost|wrong answer|cut answer|new work for leaving|generation went down|result after cancel|cancelled job went on)[^,]*' "$work/out" || grep -m1 ': Failure' "$work/out" | sed 's/.*test/test/')"
	fi
	cp "$work/original" "$work/$2"
}

only=${1:-}
U=unit_tests
F=functional_tests
R=relay_tests
mutant no_outcome_resolution src/store/commit.c 's/if \(res == kStoreConflict\)/if (false)/' $U 'BatchStore.LostAnswers*'
mutant unread_is_foreign src/store/commit.c 's/return kCommitUnknown;/return kCommitForeign;/' $U 'Itemjob.AJobThatMayBeStored*'
mutant no_session_fence src/savoryflow/batch/batch_store.c 's/store_txn_field\(txn, own, "state", "live"\);//' $U 'BatchStore.HolderThatWakes*'
mutant no_cancel_fence src/savoryflow/batch/batch_store.c 's/store_txn_field\(txn, row, "state", "running"\);//' $U 'BatchStore.NoResultAfterCancel'
mutant no_claim_check src/savoryflow/batch/batch_store.c 's/chunk->state == kChunkDone\)/false)/' $U 'Property.Batch*'
mutant no_intent src/api/api_call.c 's/key != NULL \&\& !svc->idempotent/false/' $F 'Failures.AKeyedCall*'
mutant pooled_connection src/serve/call_transfer.c 's/\.is_sent_once = .*/.is_sent_once = false,/' $F 'Failures.AKeyedCall*'
mutant no_attempt_check src/savoryflow/call/stream.c 's/id == NULL \|\| strcmp\(id, st->attempt\) != 0/false/' $U 'Stream.*'
mutant no_head_check src/target/target.c 's/return strcmp\(tr->echoed_attempt, own\) == 0;/return true;/' $F 'Failures.AnEngines*:Failures.ABooking*'
mutant no_first_answer src/target/target.c 's/return connects > 0;/return true;/' $F 'Failures.AnEngines*'
mutant no_resume src/savoryflow/call/stream.c 's/json_integer_value\(index\) < st->next_index/false/' $U 'Stream.*'
mutant no_stall_check src/target/target.c 's/tr->stall_timeout_us \&\&$/INT64_MAX \&\&/' $F 'Failures.CutSilent*'
mutant silence_is_an_end src/target/target.c 's/tr->ops->on_silent == NULL/true/' $F 'Failures.AStreamOfASilent*'
mutant no_takeover_ask src/serve/call_takeover.c 's/if \(!found\)$/if (true)/' $F 'Failures.AStreamOfAHung*'
mutant outage_counts src/serve/session_watch.c 's/if \(!is_usable\)/if (false)/' $F 'Failures.SessionsOutlive*'
mutant no_local_share src/serve/grants.c 's/waited_us > timeout_us\) \{$/waited_us > 1000 * timeout_us) {/' $F 'Failures.FrozenArbiter*'
mutant no_revocation src/savoryflow/arbiter/arbiter.c 's/return revoke_one\(arb, out\);/return false;/' $U 'Arbiter.OnlineRevokes*'
mutant no_leaving src/savoryflow/routing/routing.c 's/if \(t->is_leaving\)/if (false)/' $U 'Routing.SkipsLeaving*'
mutant proof_before_routes src/savoryflow/freshness/freshness.c 's/if \(version > fr->version\) \{/if (false) {/' $U 'Freshness*'
mutant no_margin src/savoryflow/freshness/freshness.c 's/return MAX\(bound_us - drift_us.*/return bound_us;/' $U 'FreshnessRandom.*'
mutant proof_from_answer platform/watch.c 's/if \(index == kTableConfig\)$/sent_us = clock_boot_us(clock_system());&/' $U 'WatchProofs.*'
mutant proof_of_copy platform/watch_proof.c 's/ \|\| !page->is_own//' $U 'WatchProofs.*'
mutant proof_of_old_answer platform/watch_proof.c 's/is_newest = page->version.*/is_newest = true;/' $U 'WatchProofs.*'
mutant no_check_on_connection src/gateway/outbound.c 's/!req->may_send\(req->ctx\)/false/' $U 'OutboundWithheld.*'
mutant no_check_at_send src/gateway/calls.c 's/oc->denial = access_check\(/(void)access_check(/' $F 'GatewayRevocation.AQueued*'
mutant no_check_of_jobs src/gateway/access/access.c 's/(ac->opt.proofs == NULL) \|\| (proof_exchange_admits.ac->opt.proofs.\))$/\1 || true || \2/' $F 'GatewayRevocation.ADaemonThatTheStore*'
mutant no_questions src/savoryflow/freshness/freshness.c 's/return !fr->has_asked.*/return false;/' $F 'GatewayRevocation.ADaemonCutOff*'
mutant no_condemning src/serve/call_attempt.c 's/verdict == kCrashQuarantined/false/' $F 'Failures.ARequestThatCrashes*'
mutant revert src/savoryflow/config/config.c 's/cfg->generation > holder->current->generation/true/' $U 'Config.HolderNeverGoesDown'
mutant no_compare src/savoryflow/config/config_store.c 's/store_txn_version\(txn, HEAD_KEY, head->row_version\);//; s/store_txn_absent\(txn, audit\);//' $F 'Failures.RacingOperators*'
mutant no_drain src/serve/daemon.c 's/!api_is_quiet\(d->api\)/false/' $F 'Failures.GracefulShutdown*'
mutant no_takeover src/serve/session_watch.c 's/return !alive \|\| now_us/return false \&\& now_us/' $F 'Failures.JobOfADaemonKilled*'
mutant no_peer_config src/serve/poller.c 's/hint->want_document \&\& own/false \&\& own/' $F 'Failures.DaemonStartedDuringAnOutage*'
mutant wrong_time_lasts src/store/store_clock.c 's/received_us - sc->window_start_us > kWindowUs/false/' $U 'StoreClock.*'
mutant unknown_time src/savoryflow/job/itemjob_store.c 's/if \(st->ops->now_ms\(st->ctx, &job->accepted_ms\)\)/job->accepted_ms = 0; if (true)/' $U 'Itemjob.AJobSubmittedWhile*'
mutant time_goes_back src/store/store_clock.c 's/MAX\(sc->offset_us, offset_us\)/offset_us/' $U 'StoreClock.*'
mutant no_leaving_header platform/dialect.c 's/strcmp\(leaving, "1"\) == 0/false/' $F 'Gateway.AWorkerThatSaysItLeaves*'
mutant no_leaving_mark src/savoryflow/fleet/fleet.c 's/if \(\*leaving == t->started_ms\)/if (false)/' $U 'Fleet.ATargetThat*'
mutant no_quota_fence src/savoryflow/job/itemjob_store.c 's/store_txn_version\(txn, fence_key, job->quota_fence\);//' $U 'Itemjob.ASubmissionDepends*'
mutant no_quota src/savoryflow/job/token_quota.c 's/if \(tq->waiting \+ tokens > limit\)/if (false)/' $F 'GatewayQuota.*'
mutant bytes_are_progress src/gateway/relay_answer.c 's/if \(rl->has_new_event\)/if (true)/' $F 'Gateway.ATrickling*'
mutant pauses_are_stalls src/gateway/calls.c 's/\.pause_timeout_us = .*/.pause_timeout_us = 0,/' $F 'Gateway.ASlowSound*'
mutant silence_ends_attempt src/gateway/relay_takeover.c 's/rl->takeover_slot = relay_acquire_slot\(rl\);/relay_fail_attempt(rl, kSlotUnresponsive, "silent");/' $R 'Relay.ASilent*'
mutant late_timers_judge src/gateway/relay_takeover.c 's/now_us - rl->stall_due_us > kLoopLateUs \|\| //' $R 'Relay.ATargetIsNot*'
mutant silent_to_the_end src/gateway/relay.c 's/is_silent \? kSlotUnresponsive : //' $R 'Relay.TheEnd*'
mutant avoiding_blocks src/savoryflow/slotpool/slotpool.c 's/if \(req->excluded_target\[0\] != .*\)/if (false)/' $U 'Slotpool.ARequestThatAvoidsTheFree*'
mutant nothing_kept src/savoryflow/slotpool/slot_target.c 's/kKeptSaving = 4000/kKeptSaving = 0/' $U 'SlotChoice.*'
mutant kept_for_ever src/savoryflow/slotpool/kept_parts.c 's/kp->tokens > room/false/' $U 'KeptParts.*'
mutant kept_by_former src/savoryflow/slotpool/slot_target.c 's/^\t\tkept_parts_clear\(t->kept\);//' $U 'SlotChoice.*'
mutant old_pace src/savoryflow/slotpool/target_pace.c 's/now_us - tp->learned_us > kMaxAgeUs\)/false)/' $U 'TargetPace.*:SlotChoice.*'
mutant items_on_fast src/savoryflow/slotpool/slot_target.c 's/req->is_batch \? -speed : speed/speed/' $U 'SlotChoice.*'
mutant no_credit src/savoryflow/slotpool/team_share.c 's/kCreditUs = 3 \* kUsPerS/kCreditUs = 0/' $U 'TeamShares.*'
mutant starved_teams src/savoryflow/slotpool/team_share.c 's/kStarvedDivisor = 3/kStarvedDivisor = 100000/' $U 'SlotTeams.*'
mutant others_queue src/savoryflow/slotpool/slotpool.c 's/load.online_queued = slot_queue_ahead.*/(void)0;/' $U 'SlotTeams.*'
mutant endless_queue src/savoryflow/slotpool/slot_queue.c 's/MAX\(ahead, team_shares_ahead\(sq->shares, own\)\)/ahead/' $U 'SlotTeams.*'
mutant queue_of_others src/gateway/slots_choice.c 's/h->request.team != 0 \&\& estimate_load/false \&\& estimate_load/' $U 'SlotsSend.*'
mutant roles_by_hash src/gateway/roster_election.c 's/kRoleCapacityPercent = 50/kRoleCapacityPercent = 0/' $U 'Roster.RolesGo*'
mutant no_relay src/gateway/slots_report.c 's/kDirectReportsMax = 100/kDirectReportsMax = 100000/' $U 'SlotsReport.*'
mutant no_successor src/savoryflow/membership/contacts.c 's/find_successor\(self, peers\)\);/find_heaviest(self, peers, out));/' $U 'Contacts.*'
mutant crossed_answer platform/dialect.c 's/strcmp\(echo, attempt_id\) == 0/true/' $U 'Dialect.Responses*'
mutant unbounded_item_wait src/savoryflow/job/item_retry.c 's/MIN\(first_us << doublings, kItemRetryWaitMaxUs\)/first_us << doublings/' $U 'ItemRetry.WaitsAreBounded'
mutant items_in_lockstep src/savoryflow/job/item_retry.c 's/return wait_us - .*/return wait_us;/' $U 'ItemRetry.ItemsOfOneCrash*'
mutant any_failure_counts src/savoryflow/job/item_retry.c 's/if \(status == kHttpServerError\)$/if (true)/' $U 'ItemRetry.WhatEndsAnItem'
mutant unknown_route_ends_items src/savoryflow/job/item_retry.c 's/attempts_max > 0 \&\&/true \&\&/' $U 'ItemRetry.WhatEndsAnItem'
mutant default_ttl_from_submission src/savoryflow/job/item_retry.c 's/started_us \+ kTtlDefaultUs/accepted_us + kTtlDefaultUs/' $U 'ItemRetry.TimeToLive'
mutant no_failures_handed_over src/gateway/jobs_progress.c 's/ir->retry.failures = entry->failures;//' $F 'Items.AnItemThatAlwaysFails*HandOver'
mutant no_failures_saved src/gateway/jobs_run.c 's/jobs_progress_save_failures\(ir\);/(void)ir;/' $F 'Items.AnItemThatAlwaysFails*Kill'
mutant batch_is_suspect src/savoryflow/arbiter/arbiter_crash.c 's/gr->req.work_class == kWorkBatch \|\|/false ||/' $U 'Arbiter.BatchIsNeverASuspect*'
mutant batch_is_blocked src/serve/call_attempt.c 's/c->work_class == kWorkOnline \&\&$/true \&\&/' $F 'Failures.AnItemIsOwedThough*'
mutant crashes_end_batch src/savoryflow/retry/batch_retry.c 's/return kItemRunInterrupted;/return kItemRunAnswered;/; s/\.status = attempt->status/.status = 500/' $U 'BatchRetry.*'
mutant unsolicited_bytes platform/rows_http.c 's/h != NULL \&\& has_unsolicited_bytes\(h\)/false/' $U 'RowsLate.ACopyOnAnIdle*'
mutant copied_answer platform/rows_http.c 's/!call->is_first \&\& is_copy\(h, hash, now_ms\)/false/' $U 'RowsLate.ACopyBefore*'
mutant reused_after_error platform/rows_http.c 's/if \(in->status != kHttpOk\)/if (false)/' $U 'RowsLate.ACopyBefore*'
mutant rows_of_another platform/rows_client.c 's/return is_own;/return true;/' $U 'RowsLate.RowsOfAnother*'
mutant first_page_only src/store/scan.c 's/while \(res == kStoreOk \&\& has_more\)/while (false)/' $U 'RowsPages.*'
mutant lease_without_end src/gateway/roster.c 's/m->renewed_us \+= now_us - ro->read_us/m->renewed_us = now_us/' $U 'Roster.ADeadDaemons*'
mutant token_twice src/gateway/jobs.c 's/\+\+js->tokens/js->tokens/' $U 'Jobs.Submissions*'
mutant no_ids src/gateway/jobs_takeover.c 's/itemjob_load_ids\(st, task->job, &task->items\) != kStoreOk/true/' $U 'Jobs.ItemsWithout*'
mutant long_row src/savoryflow/job/itemjob_store.c 's/strlen\(text\) <= kItemjobRowBytes/true/' $U 'RowsLimits.EachText*'
mutant no_forward_id src/gateway/jobs_forward.c 's/g_strcmp0\(echo, fwd->attempt\) != 0/false/' $F 'Gateway.APeersAnswer*'
mutant no_call_id src/store/store_http.c 's/return strcmp\(reply->named, reply->call\) == 0;/return true;/' $U 'StoreHttpLate.*'
mutant no_first_reply src/store/store_http.c 's/return connects > 0;/return true;/' $U 'StoreHttpLate.*'
mutant missing_is_zero src/store/store_http.c 's/ \&\& json_is_integer\(version\)\)/)/; s/json_is_integer\(next\) \&\& //' $U 'StoreHttpMalformed.*'
mutant any_arbiter src/gateway/slots_wire.c 's/strcmp\(h->arbiter, from\) == 0/true/' $U 'SlotsAnswers.*'
mutant any_counter src/gateway/quota.c 's/return qw != NULL \&\& strcmp\(qw->counter, from\) == 0;/return true;/' $U 'QuotaAnswers.*'
mutant unknown_reaches src/gateway/roster.c 's/store_answered_us != 0 \|\| contact->is_store_unreachable/store_answered_us != 0/' $U 'Roster.ADaemonThatNever*'
mutant failure_without_id src/gateway/answer.c 's/return kAnswerForeign;/return lacks_attempt ? kAnswerOwn : kAnswerForeign;/' $F 'GatewaySurplus.AnItem*:GatewaySurplus.ACallerGetsNoFailure*'
mutant refusal_without_id src/gateway/answer.c 's/is_first \? kAnswerOwn : kAnswerUnproven/kAnswerOwn/' $F 'GatewaySurplus.ACallerIsNotTold*'
mutant no_refusal_doubt src/gateway/relay_answer.c 's/rl->has_unproven_refusal = true;//' $F 'GatewaySurplus.ACallerIsNotTold*'
mutant unread_bytes src/gateway/outbound.c 's/if \(input == kSocketQuiet\)/if (true)/' $F 'GatewaySurplus.BytesThat*'
mutant second_status_line src/http/intake.c 's/in->is_garbled = has_status_line\(line, len\);/in->is_garbled = false;/' $F 'GatewaySurplus.ACallerGetsNoAnswerWithPart*'
mutant no_head_limit src/http/intake.c 's/in->head_bytes > kIntakeHeadBytesMax/false/' $F 'Endless.ATrailer*'
mutant no_body_limit src/http/intake.c 's/in->body_left < 0/false/' $F 'Endless.ABody*'
mutant no_store_limit platform/rows_http.c 's/!intake_body\(&call->intake, size \* n\)/false/' $F 'Endless.AStores*'
mutant no_target_limit src/target/target.c 's/!intake_body\(&tr->intake, size \* n\)/false/' $F 'EndlessOwn.AServices*'
mutant no_unread_limit src/gateway/front.c 's/unread \+ len > kUnreadBytesMax/false/' $F 'Endless.EventsWithout*'
mutant no_item_limit src/gateway/relay_answer.c 's/rl->opt.stream_bytes_max > 0 \&\&/false \&\&/' $F 'Endless.AnItemsText*'
mutant repeats_pass src/gateway/event_splitter.c 's/id <= es->run_id/false/' $U 'EventSplitter.ARunThat*'
mutant comments_are_events src/gateway/relay_answer.c 's/if \(!ev->has_content\)/if (false)/' $F 'Endless.Comments*'
mutant bytes_are_tokens src/serve/call_transfer.c 's/: kTargetDataIdle;/: kTargetDataEvent;/' $F 'EndlessOwn.AnEngine*'
mutant reports_without_end src/serve/reports.c 's/\? kTargetDataIdle/? kTargetDataPart/' $F 'EndlessOwn.LoadReports*'
mutant forgotten_run src/serve/call_run.c 's/if \(c->phase == kPhaseRunning\)$/if (false)/' $F 'EndlessOwn.AServices*'
mutant no_framing_limit src/http/intake.c 's/kIntakeFramingBytesMax \+/INT64_MAX \/ 2 +/' $F 'Endless.EachLimit*'
mutant no_head_time src/http/intake.c 's/now_us - in->head_since_us > kIntakeHeadTimeUs/false/' $F 'Endless.EachLimit*'
mutant cut_head_counts src/http/intake.c 's/in->status != 0 \&\& in->limit/in->limit/' $U 'BrokenRows.*:Intake.*'
mutant interim_fields src/target/target.c 's/^\t\tforget_fields\(tr\);//' $F 'BrokenOwn.AnInterim*'
mutant no_break_off src/gateway/front.c 's/if \(req->lacks_chunks\)/if (false)/' $F 'Gateway.AStreamThatBreaksOff*'
mutant key_to_target src/gateway/relay.c 's/if \(opt->strips_credentials\)/if (false)/' $F 'Teams.ACallIs*'
mutant item_key_stored src/gateway/jobs.c 's/^\tstrip_items\(js, items\);//' $F 'Teams.ItemsRun*'
mutant keys_in_rows platform/watch.c 's/kept = decode_without_keys\(value\);/kept = g_strdup(value);/' $U 'WatchKeys.*'
mutant key_to_peer src/gateway/access/access.c 's/^\tdialect->strip_credentials\(headers\);//' $F 'TeamsForward.APeerGets*'
mutant item_key_to_peer src/gateway/jobs_forward.c 's/dialect->strip_job\(body\);/dialect ? g_bytes_ref(body) : NULL;/' $F 'TeamsForward.APeerGets*'
mutant any_proof src/gateway/access/access.c 's/!forward_proof_holds\(book->keys, &claim, &field.digest\)/false/' $F 'TeamsForward.AForged*'
mutant forged_id src/gateway/access/access.c 's/^\t\tfront_set_own\(req\);//' $F 'TeamsForward.AForged*'
mutant any_version src/gateway/access/access.c 's/field.version != book->version/false/' $F 'TeamsForward.AForged*'
mutant peers_unauthorized src/gateway/jobs_forward.c 's/fwd->status == kHttpUnauthorized/false/' $F 'TeamsForward.APeerGets*'
mutant any_teams_job src/savoryflow/job/itemjob.c 's/return strcmp\(job->team/return true || strcmp(job->team/' $F 'Teams.AnotherTeams*'
mutant quota_for_all_teams src/gateway/quota.c "s/if \(\*team != '.0'\)/if (false)/" $F 'Teams.WaitingTokens*'
mutant final_though_outdated src/gateway/access/access.c 's/if \(ac->opt.is_current\(ac->opt.ctx\)\)/if (true)/' $F 'Teams.ADaemonThatCannot*'
exit $failed

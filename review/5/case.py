"""The store goes down just as a job is stored: the transaction is done, its
answer is lost. The client is told at each attempt that nothing runs; when the
store is back, the items run."""
import json
import threading
import time

from fleet import main
from standins import message

OUTAGE_S = 4
ROUNDS = 3


def break_store(fleet):
    fault = {"armed": False, "until": 0.0}

    def stores_job(req):
        return req.path == "/api/rows-tx" and any(
            u["table_name"] == "job" for u in json.loads(req.body)["upserts"])

    def intercept(req):
        if time.monotonic() < fault["until"]:
            return message(503, [], b"{}")
        if fault["armed"] and stores_job(req):
            fault["armed"] = False
            fault["until"] = time.monotonic() + OUTAGE_S
            failed = fleet.store.transact(json.loads(req.body))
            fleet.record("store_down", transaction="refused" if failed
                         else "done, not answered")
            return b""
        return None

    fleet.store.intercept = intercept
    return fault


def use_store(fleet):
    """Ordinary reads: all threads of the daemons have used the store."""
    for n in range(len(fleet.daemons)):
        threads = [threading.Thread(target=fleet.results, args=(n, "none"))
                   for _ in range(8)]
        for t in threads:
            t.start()
        for t in threads:
            t.join()


def case(fleet, has_trouble):
    fault = break_store(fleet)
    for _ in range(3):
        fleet.add_worker()
    fleet.start(3)
    broken = 0
    for k in range(ROUNDS):
        use_store(fleet)
        items = [(fleet.new_id(), fleet.body(5)) for _ in range(10)]
        fault["armed"] = has_trouble
        job, status = fleet.submit(k, items)
        answers = [status]
        if status != 202:
            # Retry-After of the refusal.
            time.sleep(0.4)
            answers.append(fleet.submit((k + 1) % 3, items, job)[1])
        fault["armed"] = False
        time.sleep(15 if has_trouble else 3)
        ids = {i for i, _ in items}
        ran = [i for i, _, _ in list(fleet.runs) if i in ids]
        was_refused = all(s in (408, 421, 429, 503) for s in answers)
        broken += was_refused and len(ran) > 0
        fleet.record("job_at_the_end", job=job, answers=answers,
                     runs=len(ran))
    fleet.record("end_of_day", jobs=ROUNDS, refused_and_run=broken)
    return broken == 0


main(__file__, case)

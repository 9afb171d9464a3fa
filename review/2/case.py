"""A partition of the store is away for 0.3 s just as a job is stored: the
transaction is done, its answer is lost. The job is accepted when it comes again,
and its items are gone."""
import json
import threading
import time

from fleet import main
from standins import message

OUTAGE_S = 0.3
FINISH_S = 18
ITEMS = 10


def break_store(fleet):
    """Returns the state of the fault: 'armed' starts an outage at the next
    transaction that stores a job."""
    fault = {"armed": False, "until": 0.0}

    def stores_job(req):
        return req.path == "/api/rows-tx" and any(
            u["table_name"] == "job" for u in json.loads(req.body)["upserts"])

    def intercept(req):
        if req.path.startswith("/api/blob-"):
            fleet.record("object_call", call=req.method + " " + req.path)
            return None
        if time.monotonic() < fault["until"]:
            fleet.record("store_busy", call=req.method + " " + req.path)
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
    jobs = []
    for k in range(3):
        use_store(fleet)
        body = json.dumps({"events": 5, "pace_ms": 5,
                           "prompt": "x" * 9000}).encode()
        items = [(fleet.new_id(), body) for _ in range(ITEMS)]
        fault["armed"] = has_trouble
        job, status = fleet.submit(k, items)
        # The client comes again after Retry-After, within its time limit.
        for attempt in range(1, 8):
            if status == 202:
                break
            time.sleep(0.4)
            _, status = fleet.submit((k + attempt) % 3, items, job)
        fault["armed"] = False
        if status == 202:
            jobs.append((job, items))
        time.sleep(3)
    time.sleep(FINISH_S + 5)
    lost = []
    for job, items in jobs:
        pages = [fleet.results(n, job)[1] for n in range(3)]
        listed = max([len(p["results"]) for p in pages if p] or [0])
        bodies = [fleet.call(n, "GET", "/api/items/%s?id=%s" % (
            job, items[0][0]))[0] for n in range(3)]
        fleet.record("job_at_the_end", job=job, listed=listed, of=len(items),
                     body_of_first_item=bodies)
        if listed < len(items):
            lost.append(job)
    fleet.record("end_of_day", accepted=len(jobs), lost=lost)
    return not lost


main(__file__, case)

"""One spoilt answer of a worker: its second event holds bytes that are no text,
then the worker breaks off. All daemons that are asked for the results end."""
import time

from fleet import main
from standins import chunk, head

JOBS = 5
ITEMS = 10
# Of the worker's answers.
SPOILT_MAX = 0.02


def spoil_one(fleet, has_trouble):
    left = [1 if has_trouble else 0]
    answers = [0]

    def behave(worker, conn, req, first):
        if worker is not fleet.workers[0]:
            return None
        with fleet.lock:
            answers[0] += 1
            is_spoilt = (left[0] > 0 and req.path.startswith("/lots/") and
                         1 <= SPOILT_MAX * answers[0])
            left[0] -= is_spoilt
        if not is_spoilt:
            return None
        fleet.record("spoilt_answer", worker=worker.name,
                     id=req.get("X-Attempt-Id"), answers=answers[0])
        conn.sendall(head(200, worker.sign(req) + [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked")]))
        conn.sendall(chunk(worker.event(req, first)))
        conn.sendall(chunk(b"id: %d\ndata: \xff\xfe\x80\x9c\n\n" % (first + 1)))
        time.sleep(0.05)
        return False

    return behave


def is_readable(fleet, job):
    """Asks each daemon three times, as a client does after a failure."""
    for _ in range(3):
        for n in range(len(fleet.daemons)):
            if fleet.results(n, job)[0] == 200:
                return True
        time.sleep(1)
    return False


def case(fleet, has_trouble):
    behave = spoil_one(fleet, has_trouble)
    for _ in range(3):
        fleet.add_worker(behave)
    fleet.start(3)
    for k in range(180):
        fleet.send(k % 3, "POST", "/chat/%d" % k, fleet.body(3, 2))
    jobs = []
    for k in range(JOBS):
        job, status = fleet.submit(
            k % 3, [(fleet.new_id(), fleet.body(20)) for _ in range(ITEMS)])
        if status == 202:
            jobs.append(job)
    # The clients read about twice a second.
    until = time.monotonic() + 15
    k = 0
    while time.monotonic() < until:
        for job in jobs:
            fleet.results(k % 3, job)
            k += 1
            time.sleep(0.1)
    lost = [job for job in jobs if not is_readable(fleet, job)]
    fleet.record("end_of_day", accepted=len(jobs), unreadable=lost,
                 ends_of_daemons=len(fleet.ends))
    return not lost


main(__file__, case)

"""One worker fails part of its requests and sends some of these answers a second
time, late. An item is given up though its route allows another failed run."""
import threading
import time

from fleet import HOST, SERVICE, main
from standins import message

MAX_ATTEMPTS = 2
JOBS = 60
ITEMS = 2
# Of the worker's answers: failures, and second copies.
FAILED_MAX = 0.4
COPIES_MAX = 0.03


class Grey:
    """Chooses the answers that fail and that come twice, within the doses."""

    def __init__(self, fleet, has_trouble):
        self.fleet = fleet
        self.has_trouble = has_trouble
        self.lock = threading.Lock()
        self.answers = 0
        self.copies = 0
        self.failures = {}
        self.last = {}
        # A run of the current job has failed.
        self.has_failed = False

    def copy_due(self, conn, item):
        """The copy arrives where the next answer is expected."""
        owner, data = self.last.pop(conn, (None, None))
        if (not self.has_trouble or owner != item or
                self.copies + 1 > COPIES_MAX * self.answers):
            return None
        self.copies += 1
        return data

    def fails(self, item):
        """One item of a job fails, once."""
        if (item in self.failures or self.has_failed or
                len(self.failures) + 1 > FAILED_MAX * self.answers):
            return False
        self.has_failed = True
        return True

    def behave(self, worker, conn, req, _first):
        if worker is not self.fleet.workers[0]:
            return None
        item = req.get("X-Attempt-Id")
        data = message(500, worker.sign(req), b"failed")
        with self.lock:
            self.answers += 1
            copy = self.copy_due(conn, item)
            has_failed = req.path.startswith("/lots/") and self.fails(item)
            if has_failed:
                self.failures[item] = 1
                self.last[conn] = (item, data)
        if copy is not None:
            self.fleet.record("second_copy", worker=worker.name, id=item)
            conn.sendall(copy)
        if not has_failed:
            return None
        self.fleet.record("failed_run", worker=worker.name, id=item)
        conn.sendall(data)
        return True


ROUTES = [
    {"name": "r-chat", "host": HOST, "path_prefix": "/chat/",
     "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 300,
     "priority": 0, "service": SERVICE, "max_attempts": 2, "sticky": True,
     "resumable": True, "target_gap_ms": 300},
    {"name": "r-lots", "host": HOST, "path_prefix": "/lots/", "kind": "batch",
     "timeout_ms": 15000, "target_latency_ms": 500, "target_done_ms": 18000,
     "item_ttl_s": 60, "priority": 2, "service": SERVICE,
     "max_attempts": MAX_ATTEMPTS, "sticky": True}]


def case(fleet, has_trouble):
    grey = Grey(fleet, has_trouble)
    for _ in range(3):
        fleet.add_worker(grey.behave)
    fleet.start(3, ROUTES)
    jobs = []
    for k in range(JOBS):
        grey.has_failed = False
        job, status = fleet.submit(
            k % 3, [(fleet.new_id(), fleet.body(60)) for _ in range(ITEMS)])
        if status == 202:
            jobs.append(job)
        for _ in range(2):
            time.sleep(0.3)
            fleet.send(k % 3, "POST", "/chat/%d" % k, fleet.body(5))
    time.sleep(5)
    early = []
    for job in jobs:
        page = fleet.results(0, job)[1]
        for r in page["results"] if page else []:
            failures = grey.failures.get(r["id"], 0)
            if r["state"] == "dead_letter" and failures < MAX_ATTEMPTS:
                early.append(r["id"])
                fleet.record("given_up_early", id=r["id"], failed_runs=failures,
                             attempts_allowed=MAX_ATTEMPTS)
    fleet.record("end_of_day", answers_of_the_worker=grey.answers,
                 failed=len(grey.failures), second_copies=grey.copies,
                 given_up_early=len(early))
    return not early


main(__file__, case)

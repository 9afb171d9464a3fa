"""Workers crash one after the other for a while, whatever they run. Then all is calm,
and sound items wait: a part of their prompts is blocked as one that crashes
workers."""
import base64
import json
import random
import socket
import threading
import time

import fleet as fl
from fleet import main
from standins import Worker, chunk, head

SEED = 1
STORM_S = 55
# Never more than one of six workers is down.
PERIOD_S = 0.3
BACK_S = 0.25
# 15,450 tokens at 61.8 a ms, in turn with another prompt of this length.
PROMPT_S = 0.5
JOB_PERIOD_S = 0.06
ITEMS = 2
FINISH_S = 18


class CrashingWorker(Worker):
    """Can end like a process: its port refuses, its connections are closed."""

    def __init__(self, *args):
        self.conns = set()
        self.is_down = False
        super().__init__(*args)

    def serve(self, conn):
        if self.is_down:
            conn.close()
            return
        self.conns.add(conn)
        try:
            super().serve(conn)
        finally:
            self.conns.discard(conn)

    def announce(self):
        if not self.is_down:
            super().announce()

    def crash(self):
        self.record("worker_crashes", worker=self.name)
        self.is_down = True
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for c in list(self.conns):
            try:
                c.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        threading.Timer(BACK_S, self.restart).start()

    def restart(self):
        ip, port = self.address.split(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((ip, int(port)))
        except OSError:
            sock.close()
            threading.Timer(BACK_S, self.restart).start()
            return
        sock.listen(512)
        self.sock = sock
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.is_down = False
        self.record("worker_is_back", worker=self.name)
        threading.Thread(target=self.accept, daemon=True).start()


def submit(fleet, n, items):
    """A job whose items share two parts of their prompts."""
    job = fleet.new_id()
    doc = {"requests": [
        {"id": i, "target_path": "/lots/%s/%s" % (job[:6], i),
         "headers": {"X-Model": "m", "X-Token-Usage": "15450,40",
                     "X-Prompt-Prefix": "aa01:100,%s:50,%s:15300" % (
                         job[:8], i[:8])},
         "body": base64.b64encode(b).decode(), "tokens": 15490}
        for i, b in items]}
    status = fleet.call(n, "POST", "/lots/" + job[:6], json.dumps(doc).encode(),
                        {"X-Attempt-Id": job, "X-Deadline-Ms": "4000",
                         "Content-Type": "application/json"})[0]
    fleet.record("submitted", daemon=n, job=job, items=len(items),
                 status=status)
    return job, status


def read_prompt(worker, conn, req, first):
    """The head goes out at once, the first event when the prompt is read."""
    if not req.path.startswith("/lots/"):
        return None
    conn.sendall(head(200, worker.sign(req) + [
        ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked")]))
    time.sleep(PROMPT_S)
    for n in range(first, 20):
        conn.sendall(chunk(worker.event(req, n)))
        time.sleep(0.01)
    conn.sendall(b"0\r\n\r\n")
    return True


def crash_in_turn(fleet):
    rand = random.Random(SEED)
    until = time.monotonic() + STORM_S
    while time.monotonic() < until:
        time.sleep(PERIOD_S)
        if not any(w.is_down for w in fleet.workers):
            rand.choice(fleet.workers).crash()


def case(fleet, has_trouble):
    fl.Worker = CrashingWorker
    for _ in range(6):
        fleet.add_worker(read_prompt)
    fleet.start(3)
    if has_trouble:
        threading.Thread(target=crash_in_turn, args=(fleet,),
                         daemon=True).start()
    jobs = []
    until = time.monotonic() + STORM_S
    while time.monotonic() < until:
        job, status = submit(fleet, len(jobs) % 3, [
            (fleet.new_id(), fleet.body(20)) for _ in range(ITEMS)])
        if status == 202:
            jobs.append(job)
        time.sleep(JOB_PERIOD_S)
    time.sleep(FINISH_S + 5)
    waiting = {}
    for job in jobs:
        listed = 0
        for n in range(3):
            page = fleet.results(n, job)[1]
            listed = max(listed, len(page["results"]) if page else 0)
            if listed == ITEMS:
                break
        if listed < ITEMS:
            waiting[job] = ITEMS - listed
    fleet.record("end_of_day", accepted=len(jobs), items_waiting=waiting)
    return not waiting


main(__file__, case)

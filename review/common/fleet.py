"""Starts the project's daemons with the command of the deploy file, and plays
their callers. All addresses are loopback addresses."""
import base64
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from standins import Store, Worker

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BINARY = os.path.join(ROOT, "target", "savoryflow")
HOST = "nony24.example"
SERVICE = "huvo11a"


class CannotRun(Exception):
    """The case could not run; it tells nothing of the rule."""


def free_addresses(ip, count):
    """All are held until the last one is chosen, so that they differ."""
    held = [socket.socket() for _ in range(count)]
    for s in held:
        s.bind((ip, 0))
    addresses = ["%s:%d" % s.getsockname() for s in held]
    for s in held:
        s.close()
    return addresses


class Fleet:
    """One small deployment: a store, workers and daemons in three zones."""

    def __init__(self, folder):
        if not os.access(BINARY, os.X_OK):
            raise CannotRun("target/savoryflow is missing: run the build of "
                            "deploy/system.toml")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.log = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.t0 = time.monotonic()
        # A /24 of loopback addresses of its own, so that runs side by side
        # do not meet.
        self.net = "127.%d.%d" % (random.randint(10, 250),
                                  random.randint(1, 250))
        self.store = Store(self.net + ".1")
        self.workers = []
        self.daemons = []
        self.is_closing = False
        self.lifecycle = threading.Lock()
        self.ends = []
        self.runs = []

    def record(self, what, **fields):
        line = "%8.3f %s %s" % (
            time.monotonic() - self.t0, what,
            " ".join("%s=%s" % (k, v) for k, v in fields.items()))
        with self.lock:
            if what == "run":
                self.runs.append((fields["id"], fields["worker"],
                                  fields["after"]))
            if not self.log.closed:
                self.log.write(line + "\n")
                self.log.flush()

    def add_worker(self, behave=None):
        n = len(self.workers)
        w = Worker("%s.%d" % (self.net, 100 + n), "i-%08x" % (0x7f3a0000 + n),
                   self.store, SERVICE, "zone-%d" % (n % 3), self.record,
                   behave)
        self.workers.append(w)
        return w

    def configure(self, version=1, routes=None):
        common = {"host": HOST, "priority": 0, "service": SERVICE,
                  "max_attempts": 2, "sticky": True}
        if routes is None:
            routes = [
                dict(common, name="r-chat", path_prefix="/chat/",
                     kind="streaming", timeout_ms=5000, target_latency_ms=300,
                     resumable=True, target_gap_ms=300),
                dict(common, name="r-once", path_prefix="/once/",
                     kind="streaming", timeout_ms=5000, target_latency_ms=300,
                     resumable=False, target_gap_ms=300, max_attempts=1),
                dict(common, name="r-lots", path_prefix="/lots/", kind="batch",
                     timeout_ms=15000, target_latency_ms=500,
                     target_done_ms=18000, item_ttl_s=60, max_attempts=3,
                     priority=2)]
        self.store.put("op", "config", {
            "version": version, "routes": routes,
            "services": [{"name": SERVICE, "health_path": "/health",
                          "max_conns": 360, "protocol": "h1", "tls": False,
                          "engine_name": {"slot_count": 8,
                                          "kv_capacity": 147261}}],
            "limits": {"header_bytes": 16384, "body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    def add_daemon(self):
        n = len(self.daemons)
        ip = "%s.%d" % (self.net, 10 + n)
        front, ready, peer, metrics = free_addresses(ip, 4)
        self.daemons.append({"front": front, "ready": ready, "peer": peer,
                             "metrics": metrics})

    def start_daemon(self, n):
        """Starts a daemon with the words of the deploy file and the settings
        that platform/settings.tmpl gives."""
        with self.lifecycle:
            if not self.is_closing:
                self.spawn(n)

    def spawn(self, n):
        d = self.daemons[n]
        path = os.path.join(self.folder, "boot-%d.json" % n)
        with open(path, "w") as f:
            json.dump({
                "adapter": "platform", "name": "front-%d" % n,
                "region": "region-%d" % (n % 3), "data-center": "zone-%d" % (n % 3),
                "front-listen": d["front"], "ready-listen": d["ready"],
                "metrics-listen": d["metrics"], "peer-listen": d["peer"],
                "peers": ",".join(x["peer"] for x in self.daemons[:3]),
                "platform-url": "http://" + self.store.address,
                "job-retention-s": 120, "drain-timeout-s": 8,
                "cpu-cores": 0.5}, f)
        out = open(os.path.join(self.folder, "daemon-%d.log" % n), "a")
        d["process"] = subprocess.Popen(
            [BINARY, "serve"], cwd=ROOT, stdout=out, stderr=out,
            env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp",
                 "SAVORYFLOW_NODE_FILE": path})
        out.close()
        self.record("daemon_started", daemon=n, pid=d["process"].pid)
        threading.Thread(target=self.watch, args=(n, d["process"]),
                         daemon=True).start()

    def watch(self, n, process):
        """Like the platform, starts a process again that has ended by
        itself."""
        code = process.wait()
        if self.is_closing or self.daemons[n].get("stopping"):
            return
        self.record("daemon_ended_by_itself", daemon=n, code=code)
        self.ends.append((n, code))
        time.sleep(0.5)
        self.start_daemon(n)

    def start(self, daemons=3, routes=None):
        self.configure(routes=routes)
        for _ in range(daemons):
            self.add_daemon()
        for n in range(daemons):
            self.start_daemon(n)
        until = time.monotonic() + 30
        for n in range(daemons):
            while self.ready(n) != 200 or self.call(
                    n, "GET", "/api/lots/none")[0] != 404:
                if time.monotonic() > until:
                    raise CannotRun("daemon %d does not become ready" % n)
                time.sleep(0.1)
        # Until all know the workers and each other.
        for n in range(daemons):
            while self.send(n, "POST", "/chat/warm", self.body(2))[0] != 200:
                if time.monotonic() > until:
                    raise CannotRun("daemon %d serves no request" % n)
                time.sleep(0.1)
        time.sleep(3)

    def ready(self, n):
        return self.call(n, "GET", "/api/ready", key="ready")[0]

    def call(self, n, method, path, body=None, headers=None, key="front",
             timeout=10):
        """One request on a new connection; status 0: no complete answer."""
        ip, port = self.daemons[n][key].split(":")
        conn = http.client.HTTPConnection(ip, int(port), timeout=timeout)
        try:
            all_headers = {"Host": HOST}
            all_headers.update(headers or {})
            conn.request(method, path, body, all_headers)
            res = conn.getresponse()
            data = res.read()
            return res.status, {k.lower(): v for k, v in res.getheaders()}, data
        except (OSError, http.client.HTTPException) as e:
            return 0, {}, repr(e).encode()
        finally:
            conn.close()

    @staticmethod
    def body(events, pace_ms=10):
        return json.dumps({"events": events, "pace_ms": pace_ms}).encode()

    @staticmethod
    def new_id():
        return "%016x" % random.getrandbits(64)

    def send(self, n, method, path, body, attempt=None, wait_ms=5000):
        attempt = attempt or self.new_id()
        status, headers, data = self.call(n, method, path, body, {
            "X-Attempt-Id": attempt, "X-Deadline-Ms": str(wait_ms),
            "X-Model": "m", "X-Token-Usage": "450,40"},
            timeout=wait_ms / 1000 + 2)
        self.record("answer", daemon=n, id=attempt, status=status,
                    seal=headers.get("x-response-seal"), bytes=len(data))
        return status, headers, data

    def submit(self, n, items, job=None):
        """items: list of (id, body). Returns the job's id and the status."""
        job = job or self.new_id()
        doc = {"requests": [
            {"id": i, "target_path": "/lots/%s/%s" % (job[:6], i),
             "headers": {"X-Model": "m", "X-Token-Usage": "450,250"},
             "body": base64.b64encode(b).decode(), "tokens": 700}
            for i, b in items]}
        status, _, _ = self.call(
            n, "POST", "/lots/" + job[:6], json.dumps(doc).encode(),
            {"X-Attempt-Id": job, "Content-Type": "application/json",
             "X-Deadline-Ms": "4000"})
        self.record("submitted", daemon=n, job=job, items=len(items),
                    status=status)
        return job, status

    def results(self, n, job, after=0):
        """Status and decoded page of results."""
        status, _, data = self.call(n, "GET", "/api/lots/%s?after=%d" % (
            job, after), headers={"X-Wait-Ms": "1000"}, timeout=2.5)
        doc = json.loads(data) if status == 200 else None
        self.record("read", daemon=n, job=job, after=after, status=status,
                    total=doc and doc["total_count"],
                    results=doc and [(r["id"], r["state"],
                                      len(r["output_text"]))
                                     for r in doc["results"]])
        return status, doc

    def close(self):
        with self.lifecycle:
            self.is_closing = True
        for d in self.daemons:
            p = d.get("process")
            if p is not None and p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
                p.wait()
        for w in self.workers:
            w.close()
        self.store.close()
        if os.environ.get("KEEP"):
            sys.stderr.write(self.folder + "\n")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.log.close()


def stop_on_signal(signum, _frame):
    raise CannotRun("ended by signal %d" % signum)


def main(case_file, case):
    """Runs case(fleet, has_trouble), which returns True if the rule held."""
    folder = os.path.dirname(os.path.abspath(case_file))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    for s in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(s, stop_on_signal)
    signal.alarm(115)
    fleet = None
    code = 2
    try:
        fleet = Fleet(folder)
        held = case(fleet, has_trouble)
        fleet.record("verdict", rule="held" if held else "broken",
                     trouble=has_trouble)
        code = 0 if held else 1
    except CannotRun as e:
        sys.stderr.write("cannot run: %s\n" % e)
    finally:
        signal.alarm(0)
        if fleet is not None:
            fleet.close()
    sys.stdout.write({0: "the rule held\n", 1: "the rule was broken\n",
                      2: "the case could not run\n"}[code])
    sys.stdout.flush()
    os._exit(code)

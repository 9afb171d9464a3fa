"""A small deployment on loopback: the project's store and worker stand-ins,
and daemons that are started with the deploy file's command and settings made
from its template's fields."""

import base64
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
COMMON = os.path.dirname(os.path.abspath(__file__))
PROGRAM = os.path.join(ROOT, "target", "savoryflow")
STANDIN = os.path.join(ROOT, "target", "review-2", "standin")
HOST = "nony24.example"


USED_PORTS = set()


def free_port():
    """A free port below those that the system gives to clients."""
    while True:
        port = random.randint(12000, 30000)
        if port in USED_PORTS:
            continue
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        USED_PORTS.add(port)
        return port


def http_call(address, method, path, body=None, headers=None, timeout=10):
    """Returns (status, headers, body); status 0: no whole answer."""
    ip, port = address.rsplit(":", 1)
    con = http.client.HTTPConnection(ip, int(port), timeout=timeout)
    try:
        con.request(method, path, body=body, headers=headers or {})
        res = con.getresponse()
        return res.status, dict(res.getheaders()), res.read()
    except (OSError, http.client.HTTPException) as err:
        return 0, {}, str(err).encode()
    finally:
        con.close()


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write("%7.2f %s\n" % (time.monotonic() - self.start,
                                            text))
            self.file.flush()


class Fleet:
    def __init__(self, record, grace_s=8, memory_mb=130, status_s=120):
        self.record = record
        self.tmp = tempfile.TemporaryDirectory()
        self.children = []
        self.grace_s, self.memory_mb, self.status_s = (
            grace_s, memory_mb, status_s)
        self.daemons = []
        self.workers = []
        self.store_address = None
        self.seeds = ""

    def spawn(self, argv, env=None, log=None):
        out = open(os.path.join(self.tmp.name, log), "ab") if log else (
            subprocess.DEVNULL)
        proc = subprocess.Popen(argv, env=env, stdout=out,
                                stderr=subprocess.STDOUT, cwd=ROOT)
        self.children.append(proc)
        return proc

    def start_store(self):
        port = free_port()
        self.store_address = "127.0.0.1:%d" % port
        self.spawn([STANDIN, "rows", "--port=%d" % port], log="store.log")
        wait_port(port)

    def put_row(self, table, key, value, part=""):
        doc = {"table": table, "part": part, "key": key}
        if value is not None:
            doc["value"] = value
        status, _, _ = http_call(self.store_address, "POST", "/put",
                                 json.dumps(doc))
        assert status == 200

    def add_worker(self, zone="andina-a", own=False, service="asistente"):
        """own: the worker of this folder instead of the project's."""
        port = free_port()
        i = len(self.workers)
        name = "i-%d" % i
        program = [STANDIN, "worker"]
        if own:
            program = [sys.executable, os.path.join(COMMON, "worker.py")]
        proc = self.spawn(program + ["--id=" + name, "--port=%d" % port],
                          log="worker%d.log" % i)
        wait_port(port)
        worker = {"id": name, "port": port, "proc": proc, "zone": zone,
                  "service": service, "address": "127.0.0.1:%d" % port}
        self.workers.append(worker)
        self.list_worker(worker)
        return worker

    def list_worker(self, worker, state="ready"):
        self.put_row("servers", worker["id"], json.dumps({
            "service": worker["service"], "addr": worker["address"],
            "zone": worker["zone"], "version": "v1", "slot_count": 8,
            "state": state, "cold_left_ms": 0, "sequence": 1, "born": 1}))

    def configure(self, version, routes, body_bytes=4194304):
        self.put_row("op", "config", json.dumps({
            "version": version, "routes": routes,
            "services": [{"name": "asistente", "health_path": "/health",
                          "max_conns": 300}],
            "limits": {"header_bytes": 16384, "body_bytes": body_bytes,
                       "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}))

    def add_link(self, address, one_way_ms=0, mbit=0):
        """Returns the address of a proxy that delays, one way, and lets no
        more through than a link of this speed; 0: any."""
        port = free_port()
        self.spawn([sys.executable, os.path.join(COMMON, "delay.py"),
                    "--port=%d" % port, "--to=" + address,
                    "--ms=%g" % one_way_ms, "--mbit=%g" % mbit],
                   log="delay.log")
        wait_port(port)
        return "127.0.0.1:%d" % port

    def add_daemon(self, zone="andina-a", region="andina", store=None):
        daemon = {"name": "front-%s-%d" % (zone, len(self.daemons) + 1),
                  "zone": zone, "region": region, "proc": None,
                  "store": store or self.store_address}
        for name in ("front", "ready", "peer", "metrics"):
            daemon[name] = "127.0.0.1:%d" % free_port()
        if not self.seeds:
            self.seeds = daemon["peer"]
        self.daemons.append(daemon)
        self.start_daemon(daemon)
        return daemon

    def start_daemon(self, daemon):
        path = os.path.join(self.tmp.name, daemon["name"] + ".json")
        with open(path, "w") as f:
            json.dump({
                "adapter": "platform", "name": daemon["name"],
                "region": daemon["region"], "data-center": daemon["zone"],
                "front-listen": daemon["front"],
                "ready-listen": daemon["ready"],
                "metrics-listen": daemon["metrics"],
                "peer-listen": daemon["peer"], "peers": self.seeds,
                "platform-url": "http://%s" % daemon["store"],
                "job-retention-s": self.status_s,
                "drain-timeout-s": self.grace_s, "cpu-cores": 0.5,
                "memory-mb": self.memory_mb, "max-descriptors": 8200}, f)
        daemon["proc"] = self.spawn(
            [PROGRAM, "serve"],
            env={"PATH": os.environ["PATH"], "HOME": "/tmp",
                 "LANG": "C", "SAVORYFLOW_NODE_FILE": path},
            log=daemon["name"] + ".log")

    def log_of(self, daemon):
        with open(os.path.join(self.tmp.name, daemon["name"] + ".log"),
                  errors="replace") as f:
            return f.read()

    def wait_ready(self, timeout=15):
        until = time.monotonic() + timeout
        for daemon in self.daemons:
            while http_call(daemon["ready"], "GET", "/api/ready",
                            timeout=1)[0] != 200:
                if time.monotonic() > until:
                    return False
                time.sleep(0.1)
        return True

    def kill(self, daemon, sig=signal.SIGKILL):
        daemon["proc"].send_signal(sig)

    def close(self):
        for proc in self.children:
            if proc.poll() is None:
                try:
                    proc.send_signal(signal.SIGCONT)
                    proc.kill()
                except OSError:
                    pass
        for proc in self.children:
            proc.wait()
        self.tmp.cleanup()


def wait_port(port, timeout=10):
    until = time.monotonic() + timeout
    while time.monotonic() < until:
        with socket.socket() as s:
            s.settimeout(1)
            if s.connect_ex(("127.0.0.1", port)) == 0:
                return
        time.sleep(0.05)
    raise RuntimeError("port %d does not open" % port)


def stream_route(name="q", prefix="/q/", resumable=True, attempts=2,
                 service="asistente", timeout_ms=5000):
    return {"name": name, "host": HOST, "path_prefix": prefix,
            "kind": "streaming", "timeout_ms": timeout_ms,
            "target_latency_ms": 300, "target_gap_ms": 400, "priority": 0,
            "max_attempts": attempts, "resumable": resumable,
            "sticky": True, "service": service}


def batch_route(name="b", prefix="/b/", attempts=3, ttl_s=60,
                service="asistente"):
    return {"name": name, "host": HOST, "path_prefix": prefix,
            "kind": "batch", "timeout_ms": 15000, "target_latency_ms": 400,
            "target_done_ms": 18000, "item_ttl_s": ttl_s, "priority": 2,
            "max_attempts": attempts, "service": service}


def job_body(job, items, run, prefix="/b/"):
    """items: number; run: the body of each item, bytes."""
    return json.dumps({"requests": [
        {"id": "%s-%03d" % (job, i), "target_path": prefix + "%s-%03d" % (
            job, i),
         "headers": {"X-Model": "m", "X-Token-Usage": "250,400",
                     "X-Prompt-Prefix": "9c2e41:100,%x:150" % (
                         abs(hash((job, i))) % 2**32)},
         "body": base64.b64encode(run).decode(), "tokens": 650}
        for i in range(items)]}).encode()


def submit(daemon, job, body, timeout=6):
    return http_call(daemon["front"], "POST", "/b/" + job, body,
                     {"Host": HOST, "X-Attempt-Id": job,
                      "X-Deadline-Ms": "4000",
                      "Content-Type": "application/json"}, timeout)


def results(daemon, job, after=0, timeout=5):
    status, _, body = http_call(
        daemon["front"], "GET", "/api/lots/%s?after=%d" % (job, after),
        headers={"Host": HOST}, timeout=timeout)
    return status, json.loads(body) if status == 200 else None


def memory_mb(proc, field="VmRSS"):
    try:
        with open("/proc/%d/status" % proc.pid) as f:
            for line in f:
                if line.startswith(field + ":"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


# "restarted after a short delay"
RESTART_S = 0.5


class Platform(threading.Thread):
    """Kills a process whose memory is over its machine's limit, and starts it
    again after a short delay."""

    def __init__(self, f, record):
        super().__init__(daemon=True)
        self.f, self.record, self.lost = f, record, []
        self.ends = {d["name"]: 0 for d in f.daemons}
        self.peak = {d["name"]: 0.0 for d in f.daemons}
        self.is_stopping = False

    def check(self, daemon):
        name = daemon["name"]
        if daemon in self.lost:
            return
        if daemon["proc"].poll() is not None:
            self.ends[name] += 1
            self.record.write("%s ended by itself: %s" % (
                name, daemon["proc"].returncode))
            time.sleep(RESTART_S)
            self.f.start_daemon(daemon)
            return
        # Pages of files, as of libraries, aren't counted.
        used = memory_mb(daemon["proc"], "RssAnon")
        self.peak[name] = max(self.peak[name], used)
        if used > self.f.memory_mb:
            daemon["proc"].kill()
            daemon["proc"].wait()
            self.ends[name] += 1
            self.record.write("%s used %.0f MB of %d MB and is killed" % (
                name, used, self.f.memory_mb))
            time.sleep(RESTART_S)
            self.f.start_daemon(daemon)

    def run(self):
        while not self.is_stopping:
            for daemon in self.f.daemons:
                self.check(daemon)
            time.sleep(0.02)


def cpu_s(proc):
    """Processor time of all threads of a process."""
    total = 0
    tasks = "/proc/%d/task" % proc.pid
    try:
        for task in os.listdir(tasks):
            with open(os.path.join(tasks, task, "schedstat")) as f:
                total += int(f.read().split()[0])
    except (OSError, IndexError, ValueError):
        pass
    return total / 1e9


class Allowance(threading.Thread):
    """The processor of each machine as DEPLOY.md has it on some days: "a
    core's share is an allowance. The core runs at full speed until the
    allowance is used up, and then runs not at all for the rest of that tenth
    of a second." Stops and continues the daemons."""

    PERIOD_S = 0.1

    def __init__(self, f, cpu_share):
        super().__init__(daemon=True)
        self.f, self.allowed_s = f, cpu_share * self.PERIOD_S
        self.is_stopping = False

    def run(self):
        while not self.is_stopping:
            start = time.monotonic()
            procs = [d["proc"] for d in self.f.daemons]
            used = {p.pid: cpu_s(p) for p in procs}
            stopped = set()
            while time.monotonic() - start < self.PERIOD_S:
                for p in procs:
                    if p.pid not in stopped and p.poll() is None and (
                            cpu_s(p) - used[p.pid] >= self.allowed_s):
                        p.send_signal(signal.SIGSTOP)
                        stopped.add(p.pid)
                time.sleep(0.004)
            for p in procs:
                if p.pid in stopped and p.poll() is None:
                    p.send_signal(signal.SIGCONT)

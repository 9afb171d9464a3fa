"""A small deployment on loopback: daemons, the project's store stand-in, and
workers that this file plays. Each case starts what it needs, writes what was
sent, answered and run to its record.txt, and ends what it started."""
import asyncio
import base64
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "savoryflow")
STANDIN = os.path.join(ROOT, "target", "review-3", "standin")
HOST = "a.example"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    pass


_given = set()


def free_port():
    while True:
        with socket.socket() as s:
            s.bind(("127.0.0.1", 0))
            port = s.getsockname()[1]
        if port not in _given:
            _given.add(port)
            return port


def wait_until(what, test, seconds=20.0):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if test():
            return
        time.sleep(0.05)
    raise CannotRun("not in time: " + what)


class Record:
    def __init__(self, folder):
        self.lock = threading.Lock()
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers = status, headers
        self.body, self.complete = body, complete

    def json(self):
        return json.loads(self.body)


def call(port, method, path, body=b"", headers=None, timeout=10.0):
    """One request on a connection of its own; status 0: no answer."""
    con = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    fields = {"Host": HOST}
    fields.update(headers or {})
    try:
        con.request(method, path, body=body, headers=fields)
        res = con.getresponse()
        try:
            data, complete = res.read(), True
        except (http.client.IncompleteRead, OSError) as e:
            data, complete = getattr(e, "partial", b""), False
        return Answer(res.status, dict((k.lower(), v) for k, v in res.getheaders()),
                      data, complete)
    except (OSError, http.client.HTTPException):
        return Answer(0, {}, b"", False)
    finally:
        con.close()


class Worker:
    """A sound worker of language models. Runs `slots` requests at once and
    queues a few more; an event of a run is "PATH-n"; an item has `events` of
    them, an online request five at most. The case may replace `behave`, a
    coroutine that is called in place of the run."""

    def __init__(self, fleet, wid, zone="z1", slots=8, queue=24, pace_ms=10,
                 events=20, born=None):
        self.fleet, self.id, self.zone = fleet, wid, zone
        self.slots, self.queue = slots, queue
        self.pace_ms, self.events = pace_ms, events
        self.born = born if born is not None else int(time.time() * 1000)
        self.running = self.waiting = 0
        self.runs = []
        self.behave = None
        self.more_headers = []
        self.sequence = 0
        self.state = "ready"
        self.port = free_port()
        self.slot = None
        self.server = None

    async def start(self):
        self.slot = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=8 << 20)

    def entry(self):
        return {"service": "llm", "addr": "127.0.0.1:%d" % self.port,
                "zone": self.zone, "version": "v1", "slot_count": self.slots,
                "state": self.state, "cold_left_ms": 0,
                "sequence": self.sequence, "born": self.born}

    async def _read_request(self, reader):
        line = await reader.readline()
        if not line:
            return None
        method, path, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while True:
            line = (await reader.readline()).decode("latin-1").strip("\r\n")
            if not line:
                break
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
        body = b""
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        return method, path, headers, body

    def head(self, status, attempt, fields):
        lines = ["HTTP/1.1 %s" % status]
        if attempt is not None:
            lines += ["X-Attempt-Id: " + attempt]
        lines += fields + self.more_headers
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def refusal(self, status, attempt):
        return self.head(status, attempt, ["X-Not-Executed: 1",
                                           "Content-Length: 2"]) + b"{}"

    def answer(self, status, attempt, body=b""):
        return self.head(status, attempt, [
            "X-Response-Seal: %s.%s" % (self.id, attempt),
            "Content-Length: %d" % len(body)]) + body

    async def _serve(self, reader, writer):
        try:
            while True:
                req = await self._read_request(reader)
                if req is None:
                    break
                if not await self._one(req, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def _one(self, req, writer):
        method, path, headers, _ = req
        attempt = headers.get("x-attempt-id")
        if method == "GET" and path == "/health":
            writer.write(self.head("200 OK", None, ["X-Instance-Id: " + self.id,
                                                    "Content-Length: 0"]))
            await writer.drain()
            return True
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(self.refusal("421 Misdirected Request", attempt))
            await writer.drain()
            return True
        if self.waiting >= self.queue:
            writer.write(self.refusal("503 Service Unavailable", attempt))
            await writer.drain()
            return True
        self.waiting += 1
        async with self.slot:
            self.waiting -= 1
            self.runs.append((time.monotonic(), attempt, path))
            self.fleet.record.write("worker %s runs %s %s from %s" % (
                self.id, attempt, path, headers.get("last-event-id", "-")))
            if self.behave is not None:
                kept = await self.behave(self, req, writer)
                if kept is not None:
                    return kept
            return await self.run(req, writer)

    async def run(self, req, writer):
        _, path, headers, body = req
        attempt = headers.get("x-attempt-id")
        first = int(headers.get("last-event-id", "0")) + 1
        writer.write(self.head("200 OK", attempt, [
            "X-Response-Seal: %s.%s" % (self.id, attempt),
            "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]))
        last = self.events if path.startswith("/b/") else min(self.events, 5)
        for n in range(first, last + 1):
            await asyncio.sleep(self.pace_ms / 1000.0)
            event = ("id: %d\ndata: %s-%d\n\n" % (n, path, n)).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Daemon:
    def __init__(self, fleet, name, zone, seeds):
        self.fleet, self.name, self.zone, self.seeds = fleet, name, zone, seeds
        self.front, self.ready = free_port(), free_port()
        self.metrics, self.peer = free_port(), free_port()
        self.process = None
        self.store_url = None

    def settings(self):
        return {
            "adapter": "platform", "name": self.name, "region": "r1",
            "data-center": self.zone,
            "front-listen": "127.0.0.1:%d" % self.front,
            "ready-listen": "127.0.0.1:%d" % self.ready,
            "metrics-listen": "127.0.0.1:%d" % self.metrics,
            "peer-listen": "127.0.0.1:%d" % self.peer,
            "peers": ",".join(self.seeds),
            "platform-url": self.store_url or self.fleet.store_url,
            "job-retention-s": 120, "drain-timeout-s": 8,
            "cpu-cores": 0.5, "memory-mb": self.fleet.memory_mb,
            "max-descriptors": 8200, **self.fleet.more_settings}

    def start(self):
        path = os.path.join(self.fleet.folder, self.name + ".json")
        with open(path, "w") as f:
            json.dump(self.settings(), f)
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [PROGRAM, "serve"], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": "/tmp", "LANG": "C",
                 "SAVORYFLOW_NODE_FILE": path})
        log.close()
        self.fleet.record.write("daemon %s started" % self.name)

    def is_ready(self):
        return call(self.ready, "GET", "/api/ready", timeout=2).status == 200

    def signal(self, number):
        self.process.send_signal(number)
        self.fleet.record.write("daemon %s: signal %d" % (self.name, number))

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def anonymous_mb(self):
        """Memory that the process has written; its program and libraries
        aren't counted."""
        try:
            with open("/proc/%d/status" % self.process.pid) as f:
                for line in f:
                    if line.startswith("RssAnon:"):
                        return int(line.split()[1]) / 1024.0
        except OSError:
            pass
        return 0.0


class Fleet:
    def __init__(self, case, memory_mb=130, more_settings=None):
        for path in (PROGRAM, STANDIN):
            if not os.access(path, os.X_OK):
                raise CannotRun(path + " is not built")
        self.record = Record(case)
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.memory_mb, self.more_settings = memory_mb, more_settings or {}
        self.daemons, self.workers, self.others = [], [], []
        self.loop = asyncio.new_event_loop()
        # A caller that has left is no error of a worker.
        self.loop.set_exception_handler(lambda *_: None)
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.store_port = free_port()
        self.store_url = "http://127.0.0.1:%d" % self.store_port
        self.store = subprocess.Popen(
            [STANDIN, "rows", "--port=%d" % self.store_port],
            stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL)
        self.others.append(self.store)
        wait_until("the store", lambda: call(
            self.store_port, "GET", "/dump", timeout=2).status == 200)

    def in_loop(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    def put(self, table, key, value):
        doc = {"table": table, "part": "", "key": key}
        if value is not None:
            doc["value"] = json.dumps(value)
        if call(self.store_port, "POST", "/put", json.dumps(doc)).status != 200:
            raise CannotRun("the store does not take a row")

    def store_fault(self, path, doc):
        self.record.write("store %s %s" % (path, json.dumps(doc)))
        if call(self.store_port, "POST", path, json.dumps(doc)).status != 200:
            raise CannotRun("the store does not take a fault")

    @staticmethod
    def routes(service="llm"):
        def stream(name, resumable, attempts):
            return {"name": name, "host": HOST, "path_prefix": "/%s/" % name,
                    "kind": "streaming", "timeout_ms": 5000,
                    "target_latency_ms": 300, "target_gap_ms": 400,
                    "service": service, "max_attempts": attempts,
                    "resumable": resumable, "priority": 0, "sticky": True}
        return [stream("q", True, 2), stream("f", False, 1),
                {"name": "b", "host": HOST, "path_prefix": "/b/",
                 "kind": "batch", "timeout_ms": 15000, "target_latency_ms": 400,
                 "target_done_ms": 18000, "item_ttl_s": 60, "service": service,
                 "max_attempts": 3, "priority": 2}]

    def configure(self, version, routes=None, more=None):
        doc = {"version": version, "routes": routes or self.routes(),
               "services": [{"name": "llm", "health_path": "/health",
                             "max_conns": 300,
                             "engine_name": {"slot_count": 8}}],
               "limits": {"header_bytes": 16384, "body_bytes": 4194304,
                          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        doc.update(more or {})
        self.put("op", "config", doc)
        self.record.write("configuration %d" % version)

    def add_worker(self, **options):
        worker = Worker(self, "i-%d" % len(self.workers), **options)
        self.workers.append(worker)
        self.in_loop(worker.start())
        self.put("servers", worker.id, worker.entry())
        return worker

    def add_daemon(self, zone="z1"):
        seeds = ["127.0.0.1:%d" % d.peer for d in self.daemons[:2]]
        d = Daemon(self, "d%d" % len(self.daemons), zone, [])
        d.seeds = seeds or ["127.0.0.1:%d" % d.peer]
        self.daemons.append(d)
        d.start()
        return d

    def start(self, daemons, workers, zones=1, **options):
        self.configure(1)
        for n in range(workers):
            self.add_worker(zone="z%d" % (n % zones + 1), **options)
        for n in range(daemons):
            self.add_daemon("z%d" % (n % zones + 1))
        for d in self.daemons:
            wait_until(d.name + " ready", d.is_ready)
            wait_until(d.name + " serves", lambda: self.ask(
                d, "/q/warm", "warm-%s-%d" % (d.name, time.monotonic_ns())).status == 200)

    def ask(self, daemon, path, attempt, deadline_ms=5000, body=b"x", **more):
        return call(daemon.front, "POST", path, body, {
            "X-Attempt-Id": attempt, "X-Deadline-Ms": str(deadline_ms), **more},
            timeout=deadline_ms / 1000.0 + 1)

    @staticmethod
    def job_body(job, items, item_bytes, tokens=350):
        text = base64.b64encode(b"x" * item_bytes).decode()
        return json.dumps({"requests": [
            {"id": "%s-%d" % (job, i), "target_path": "/b/%s-%d" % (job, i),
             "headers": {"X-Model": "m", "X-Token-Usage": "350,250"},
             "body": text, "tokens": tokens} for i in range(items)]}).encode()

    def submit(self, daemon, job, body, timeout=4.0):
        a = call(daemon.front, "POST", "/b/" + job, body, {
            "X-Attempt-Id": job, "Content-Type": "application/json"}, timeout)
        self.record.write("job %s at %s: %d" % (job, daemon.name, a.status))
        return a

    def results(self, daemon, job, after=0, timeout=2.5):
        a = call(daemon.front, "GET", "/api/lots/%s?after=%d" % (job, after),
                 timeout=timeout)
        return a

    def read_all(self, daemon, job):
        """All results of a job, or None if they can't be read now."""
        out = []
        while True:
            a = self.results(daemon, job, len(out))
            if a.status != 200 or not a.complete:
                return None
            doc = a.json()
            if not doc["results"]:
                return doc["total_count"], out
            out += doc["results"]

    @staticmethod
    async def _cancel_tasks():
        tasks = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
        for t in tasks:
            t.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def close(self):
        for d in self.daemons:
            if d.process is not None and d.process.poll() is None:
                d.process.send_signal(signal.SIGCONT)
                d.process.kill()
                d.process.wait()
        for p in self.others:
            if p.poll() is None:
                p.kill()
                p.wait()
        self.in_loop(self._cancel_tasks())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
        if os.environ.get("KEEP_LOGS"):
            print("logs in " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Platform(threading.Thread):
    """Ends a process that exceeds its machine's memory, and starts it again
    after a second, as DEPLOY.md says. Only memory that the process has written
    is counted."""

    def __init__(self, fleet, restart_s=1.0):
        super().__init__(daemon=True)
        self.fleet, self.restart_s, self.stopping = fleet, restart_s, False
        self.dark = []  # machines without power: not started again
        self.ends = {d.name: 0 for d in fleet.daemons}
        self.peak_mb = {d.name: 0.0 for d in fleet.daemons}

    def watch(self, d, restarts):
        now = time.monotonic()
        if d in self.dark:
            return
        if d.name in restarts:
            if now >= restarts[d.name]:
                del restarts[d.name]
                d.start()
            return
        mb = d.anonymous_mb()
        self.peak_mb[d.name] = max(self.peak_mb[d.name], mb)
        if d.process.poll() is None and mb <= self.fleet.memory_mb:
            return
        self.ends[d.name] += 1
        self.fleet.record.write("%s ends: %.0f MB of %d MB" % (
            d.name, mb, self.fleet.memory_mb))
        if d.process.poll() is None:
            d.kill()
        restarts[d.name] = now + self.restart_s

    def run(self):
        restarts = {}
        while not self.stopping:
            for d in self.fleet.daemons:
                self.watch(d, restarts)
            time.sleep(0.01)

    def stop(self):
        self.stopping = True
        self.join()
        self.fleet.record.write("ends by memory %s, peak MB %s" % (
            self.ends, {k: round(v) for k, v in self.peak_mb.items()}))


def main(case, play, **options):
    """Runs a case; TROUBLE=0 leaves the disruption out."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = None
    code = NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        fleet = Fleet(case, **options)
        fleet.record.write("with the disruption" if trouble else "without it")
        broken = play(fleet, trouble)
        code = BROKEN if broken else HELD
        text = ("rule broken: " + broken) if broken else "rule held"
        fleet.record.write(text)
        print(text)
    except CannotRun as e:
        print("the case could not run: %s" % e)
        if fleet is not None:
            fleet.record.write("could not run: %s" % e)
    finally:
        if fleet is not None:
            fleet.close()
    sys.exit(code)

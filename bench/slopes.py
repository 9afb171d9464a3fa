#!/usr/bin/env python3
"""Measures the cost of control per daemon against the size of the system.

Starts groups of daemons and stand-ins as processes on loopback, samples their
counters over an interval, fits lines by least squares, and writes
bench/slopes.csv, bench/slopes.txt and bench/slopes.png.
Usage: slopes.py BUILD [part ...]
Parts: daemons load targets teams models items config streams
chunks takeover
"""
import csv
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

BUILD_DIR = os.path.realpath(sys.argv[1])
PARTS = sys.argv[2:] or ["daemons", "load", "targets", "teams", "models",
                         "items", "config", "streams", "chunks", "takeover"]
BENCH_DIR = os.path.dirname(os.path.realpath(__file__))
BASE_PORT = 21000
OPERATOR_KEY = "slopes-operator"
SAMPLE_SECONDS = 8
ROWS = []


def http_request(method, url, body=None, key=OPERATOR_KEY, timeout=60):
    data = body.encode() if isinstance(body, str) else body
    req = urllib.request.Request(url, data=data, method=method)
    req.add_header("Authorization", "Bearer " + key)
    with urllib.request.urlopen(req, timeout=timeout) as res:
        return res.read().decode(), res.headers


def wait_for_url(url, timeout_s=60):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            return http_request("GET", url)[0]
        except OSError:
            time.sleep(0.05)
    raise RuntimeError("no response from %s within %g s" % (url, timeout_s))


def sha256(text):
    import hashlib
    return hashlib.sha256(text.encode()).hexdigest()


def make_config(targets, teams=10, models=1, url="http://127.0.0.1:%d",
                slots=234):
    services = {"assistant": {"kind": "engine", "idempotent": True,
                              "tail_budget_ms": 57}}
    for i in range(models - 1):
        services["model-%d" % i] = {"kind": "engine", "idempotent": True,
                                    "tail_budget_ms": 57}
    names = list(services)
    return {
        "schema": 1,
        "services": services,
        "models": {},
        "targets": {"target-%04d" % i: {
            "url": url % (BASE_PORT + 10 + i % 4) if i < 4
            else "http://127.0.0.1:9/%d" % i,
            "service": names[i % len(names)] if i >= 4 else "assistant",
            "region": "r1", "data_center": "dc1", "checks_fencing": False,
            "slots": slots} for i in range(targets)},
        "teams": {"team-%04d" % i: {
            "key_sha256": sha256("key-%d" % i), "operator": False,
            "rate_per_s": 0, "concurrency": 0, "weight": 1}
            for i in range(teams)},
    }


class Group:
    """The stand-ins and daemons of one measurement."""

    def __init__(self, daemons, extra=(), engines=4, speed=20):
        self.procs = []
        self.dir = tempfile.mkdtemp()
        self.daemons = daemons
        self.spawn([BUILD_DIR + "/standin", "platform",
                    "--port=%d" % BASE_PORT])
        for i in range(engines):
            self.spawn([BUILD_DIR + "/standin", "engine",
                        "--port=%d" % (BASE_PORT + 10 + i),
                        "--speed=%g" % speed])
        wait_for_url("http://127.0.0.1:%d/counts" % BASE_PORT)
        self.pids = []
        for i in range(daemons):
            p = self.spawn([
                BUILD_DIR + "/savoryflow", "serve",
                "--listen=127.0.0.1:%d" % (BASE_PORT + 1000 + i),
                "--peer-listen=127.0.0.1:%d" % (BASE_PORT + 2000 + i),
                "--peers=127.0.0.1:%d" % (BASE_PORT + 2000),
                "--platform-url=http://127.0.0.1:%d" % BASE_PORT,
                "--operator-key-sha256=" + sha256(OPERATOR_KEY),
                "--log-level=error", "--body-max-bytes=16000000"] +
                list(extra))
            self.pids.append(p.pid)
        for i in range(daemons):
            wait_for_url(self.url(i) + "/healthz")

    def url(self, i):
        return "http://127.0.0.1:%d" % (BASE_PORT + 1000 + i)

    def spawn(self, argv):
        p = subprocess.Popen(argv, stdout=subprocess.DEVNULL,
                             stderr=subprocess.DEVNULL)
        self.procs.append(p)
        return p

    def submit_config(self, doc, base_generation=0):
        """Returns the time at which the submission started."""
        start = time.monotonic()
        http_request("PUT",
                     self.url(0) + "/v1/config?from=%d" % base_generation,
                     json.dumps(doc))
        return start

    def wait_members(self, timeout_s=90):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            alive = [self.metrics(i)["savoryflow_members_alive"]
                     for i in range(self.daemons)]
            if min(alive) >= self.daemons:
                return
            time.sleep(0.2)
        raise RuntimeError("members alive per daemon: %s, expected %d" %
                           (alive, self.daemons))

    def wait_generation(self, generation, timeout_s=60):
        """Returns the time at which all daemons were seen to apply it."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if all(self.metrics(i)["savoryflow_config_generation"] >=
                   generation for i in range(self.daemons)):
                return time.monotonic()
            time.sleep(0.02)
        raise RuntimeError("generation %d not in force on all daemons "
                           "within %g s" % (generation, timeout_s))

    def metrics(self, i):
        text, _ = http_request("GET", self.url(i) + "/metrics")
        return {line.split()[0]: float(line.split()[1])
                for line in text.splitlines() if not line.startswith("#")}

    def rss_mb(self, i):
        with open("/proc/%d/status" % self.pids[i]) as f:
            for line in f:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        return 0

    def cpu_s(self, i):
        with open("/proc/%d/stat" % self.pids[i]) as f:
            fields = f.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def sample(self):
        return [(self.metrics(i), self.cpu_s(i)) for i in range(self.daemons)]

    def kill_all(self):
        for p in self.procs:
            p.send_signal(signal.SIGKILL)
        for p in self.procs:
            p.wait()


FIGURES = {
    "control_cpu_percent": lambda m: m["savoryflow_control_cpu_us_total"] / 1e4,
    "gossip_sent_bytes": lambda m: m["savoryflow_gossip_sent_bytes_total"],
    "grant_sent_bytes": lambda m: m["savoryflow_grant_sent_bytes_total"],
    "peer_received_bytes": lambda m: m["savoryflow_peer_received_bytes_total"],
    "store_bytes": lambda m: m["savoryflow_store_control_bytes_total"],
    "report_bytes": lambda m: m["savoryflow_target_report_bytes_total"],
    "messages_sent": lambda m: m["savoryflow_peer_sent_messages_total"],
    "messages_received":
        lambda m: m["savoryflow_peer_received_messages_total"],
    "requests": lambda m: m["savoryflow_requests_total"],
    "tokens": lambda m: m["savoryflow_tokens_total"],
    "fallbacks": lambda m: m["savoryflow_arbiter_fallbacks_total"],
}
for _cause in ("config", "batch", "session", "intent", "vms"):
    FIGURES["store_reads_" + _cause] = (
        lambda m, c=_cause: m["savoryflow_store_reads_%s_total" % c])
for _cause in ("config", "batch", "session", "intent"):
    FIGURES["store_writes_" + _cause] = (
        lambda m, c=_cause: m["savoryflow_store_writes_%s_total" % c])


def record(part, x, figure, values):
    values = sorted(values)
    ROWS.append({"part": part, "x": x, "figure": figure,
                 "mean": sum(values) / len(values), "least": values[0],
                 "most": values[-1]})
    print("%s %s %s mean %.4g least %.4g most %.4g" %
          (part, x, figure, sum(values) / len(values), values[0], values[-1]),
          flush=True)


def measure(part, x, group, seconds=SAMPLE_SECONDS, workload=None):
    """Records all figures as rates over the workload, or over an idle
    interval."""
    before = group.sample()
    start = time.monotonic()
    if workload:
        workload()
    else:
        time.sleep(seconds)
    elapsed_s = time.monotonic() - start
    after = group.sample()
    for name, figure in FIGURES.items():
        record(part, x, name,
               [(figure(a[0]) - figure(b[0])) / elapsed_s
                for a, b in zip(after, before)])
    record(part, x, "cpu_percent",
           [(a[1] - b[1]) / elapsed_s * 100 for a, b in zip(after, before)])
    record(part, x, "rss_mb",
           [group.rss_mb(i) for i in range(group.daemons)])


def run_load(group, rate_per_s, seconds, tokens=16):
    urls = ",".join(group.url(i) for i in range(group.daemons))
    out = subprocess.run(
        [BUILD_DIR + "/savorybench", "load", urls, "--rate=%g" % rate_per_s,
         "--seconds=%g" % seconds, "--key=key-0", "--tokens=%d" % tokens],
        stdout=subprocess.PIPE, check=False)
    return json.loads(out.stdout)


def part_daemons():
    for n in (1, 5, 10, 20, 40, 80):
        group = Group(n)
        try:
            start = group.submit_config(make_config(4))
            group.wait_members()
            group.wait_generation(1)
            record("daemons", n, "join_s", [time.monotonic() - start])
            time.sleep(3)
            measure("daemons_idle", n, group)
            doc = make_config(4)
            doc["teams"]["team-0000"]["weight"] = 2
            start = group.submit_config(doc, 1)
            record("daemons", n, "config_in_force_s",
                   [group.wait_generation(2) - start])
            result = {}

            def load():
                result.update(run_load(group, 2.0 * n, 8))
            measure("daemons_load", n, group, workload=load)
            record("daemons_load", n, "failed", [result["failed"]])
            record("daemons_load", n, "first_p95_ms",
                   [result["first_p95_ms"]])
        finally:
            group.kill_all()


def part_load():
    for rate in (0, 10, 20, 40, 80):
        group = Group(3)
        try:
            group.submit_config(make_config(4))
            group.wait_members()
            group.wait_generation(1)
            if rate:
                measure("rate_per_daemon", rate, group,
                        workload=lambda: run_load(group, rate * 3, 8))
            else:
                measure("rate_per_daemon", rate, group)
        finally:
            group.kill_all()


def part_entries(part, counts, make):
    for n in counts:
        group = Group(1, extra=["--report-period-ms=60000"])
        try:
            doc = make(n)
            start = group.submit_config(doc)
            record(part, n, "submit_s", [group.wait_generation(1) - start])
            record(part, n, "document_kb", [len(json.dumps(doc)) / 1024])
            time.sleep(1)
            before = group.metrics(0)
            doc["teams"]["team-0000"]["weight"] = 3
            start = group.submit_config(doc, 1)
            record(part, n, "change_s", [group.wait_generation(2) - start])
            after = group.metrics(0)
            record(part, n, "change_control_cpu_ms",
                   [(after["savoryflow_control_cpu_us_total"] -
                     before["savoryflow_control_cpu_us_total"]) / 1e3])
            measure(part, n, group, seconds=4)
        finally:
            group.kill_all()


def part_config():
    """Cost of one configuration change at a daemon that did not receive the
    submission, with a document of the full size."""
    group = Group(3, extra=["--report-period-ms=60000"])
    try:
        doc = make_config(600, teams=3200, models=11)
        group.submit_config(doc)
        group.wait_members()
        group.wait_generation(1)
        time.sleep(2)
        before = group.metrics(2)
        changes = 10
        for g in range(changes):
            doc["teams"]["team-0000"]["weight"] = 2 + g
            group.submit_config(doc, 1 + g)
            group.wait_generation(2 + g)
        after = group.metrics(2)
        record("config", changes, "follow_cpu_ms_per_change",
               [(after["savoryflow_control_cpu_us_total"] -
                 before["savoryflow_control_cpu_us_total"]) / 1e3 / changes])
        record("config", changes, "follow_store_bytes_per_change",
               [(after["savoryflow_store_control_bytes_total"] -
                 before["savoryflow_store_control_bytes_total"]) / changes])
        record("config", changes, "rss_mb", [group.rss_mb(2)])
    finally:
        group.kill_all()


def part_streams():
    """One daemon at its share of the peak load, 24 requests/s of 240 tokens,
    and the same load sent directly to the engines."""
    rate, seconds = 24, 20
    group = Group(1, extra=["--stall-timeout-ms=20000"], speed=0.5)
    try:
        group.submit_config(make_config(4))
        group.wait_generation(1)
        out = {}
        rss_mb = []

        def load():
            out.update(run_load(group, rate, seconds, tokens=240))
            rss_mb.append(group.rss_mb(0))
        measure("streams", rate, group, workload=load)
        engines = ",".join("http://127.0.0.1:%d" % (BASE_PORT + 10 + i)
                           for i in range(4))
        direct = json.loads(subprocess.run(
            [BUILD_DIR + "/savorybench", "load", engines, "--rate=%g" % rate,
             "--seconds=%g" % seconds, "--tokens=240"],
            stdout=subprocess.PIPE, check=False).stdout)
        for name in ("first_p50_ms", "first_p95_ms", "first_p99_ms",
                     "between_p95_ms", "tokens_per_s", "failed", "refused"):
            record("streams", rate, "daemon_" + name, [out[name]])
            record("streams", rate, "direct_" + name, [direct[name]])
    finally:
        group.kill_all()
    # Latency added to the first token without queueing: fast engines, low rate.
    group = Group(1, speed=50)
    try:
        group.submit_config(make_config(4))
        group.wait_generation(1)
        engines = ",".join("http://127.0.0.1:%d" % (BASE_PORT + 10 + i)
                           for i in range(4))
        for name, urls, key in (("daemon", group.url(0), "key-0"),
                                ("direct", engines, "x")) * 2:
            res = json.loads(subprocess.run(
                [BUILD_DIR + "/savorybench", "load", urls, "--rate=50",
                 "--seconds=6", "--key=" + key],
                stdout=subprocess.PIPE, check=False).stdout)
            for figure in ("first_p50_ms", "first_p99_ms"):
                record("added", 50, name + "_" + figure, [res[figure]])
    finally:
        group.kill_all()


def part_items():
    for n in (1000, 10000, 100000):
        group = Group(1, extra=["--batch-inflight-items=800",
                                "--batch-poll-ms=200"], speed=200)
        try:
            group.submit_config(make_config(4, slots=234))
            group.wait_generation(1)
            items = "".join(
                '{"id":"i%d","body":{"max_tokens":1,"messages":[{"role":"user",'
                '"content":"notice %d"}]}}\n' % (i, i) for i in range(n))
            before = group.metrics(0)
            initial_rss_mb = group.rss_mb(0)
            start = time.monotonic()
            job, _ = http_request("POST",
                                  group.url(0) +
                                  "/v1/batches?service=assistant",
                                  items, key="key-0", timeout=300)
            record("items", n, "submit_s", [time.monotonic() - start])
            path = group.url(0) + "/v1/batches/" + json.loads(job)["id"]
            peak_rss_mb = initial_rss_mb
            while True:
                status = json.loads(http_request("GET", path, key="key-0")[0])
                peak_rss_mb = max(peak_rss_mb, group.rss_mb(0))
                if status["state"] == "done" or \
                        time.monotonic() - start > 240:
                    break
                time.sleep(0.5)
            elapsed_s = time.monotonic() - start
            after = group.metrics(0)
            record("items", n, "done", [status["ok"] + status["failed"]])
            record("items", n, "items_per_s", [status["ok"] / elapsed_s])
            record("items", n, "rss_most_mb", [peak_rss_mb])
            for kind in ("reads", "writes"):
                key = "savoryflow_store_%s_batch_total" % kind
                record("items", n, kind + "_per_1000_items",
                       [(after[key] - before[key]) * 1000 / n])
        finally:
            group.kill_all()


def part_chunks():
    """Store operations and throughput against the chunk size; a chunk of one
    item means one row per item, the baseline."""
    n = 4000
    for size in (1, 50, 200, 256, 1000):
        group = Group(2, extra=["--batch-inflight-items=400",
                                "--batch-poll-ms=200",
                                "--chunk-items=%d" % size], speed=200)
        try:
            group.submit_config(make_config(4))
            group.wait_members()
            group.wait_generation(1)
            items = "".join(
                '{"id":"i%d","body":{"max_tokens":1,"messages":[{"role":"user",'
                '"content":"notice %d"}]}}\n' % (i, i) for i in range(n))
            before = [group.metrics(i) for i in range(2)]
            start = time.monotonic()
            job, _ = http_request("POST",
                                  group.url(0) +
                                  "/v1/batches?service=assistant",
                                  items, key="key-0", timeout=300)
            path = group.url(0) + "/v1/batches/" + json.loads(job)["id"]
            status = {"state": "running"}
            while status["state"] != "done" and \
                    time.monotonic() - start < 60:
                time.sleep(0.2)
                status = json.loads(http_request("GET", path, key="key-0")[0])
            elapsed_s = time.monotonic() - start
            after = [group.metrics(i) for i in range(2)]
            record("chunks", size, "done", [status["ok"]])
            record("chunks", size, "items_per_s", [status["ok"] / elapsed_s])
            for kind in ("reads", "writes"):
                key = "savoryflow_store_%s_batch_total" % kind
                record("chunks", size, kind + "_per_1000_items",
                       [sum(a[key] - b[key] for a, b in zip(after, before)) *
                        1000 / n])
        finally:
            group.kill_all()


def part_takeover():
    """Time until a job is done, with and without killing a daemon."""
    for is_daemon_killed in (False, True):
        group = Group(3, extra=["--batch-poll-ms=500",
                                "--session-period-ms=1000",
                                "--session-lease-ms=3000"], speed=20)
        try:
            group.submit_config(make_config(4))
            group.wait_members()
            group.wait_generation(1)
            items = "".join(
                '{"id":"i%d","body":{"messages":[{"role":"user",'
                '"content":"notice %d"}]}}\n' % (i, i) for i in range(3000))
            job, _ = http_request("POST",
                                  group.url(0) +
                                  "/v1/batches?service=assistant",
                                  items, key="key-0")
            path = group.url(1) + "/v1/batches/" + json.loads(job)["id"]

            def status():
                return json.loads(http_request("GET", path, key="key-0")[0])
            while status()["chunks_done"] < 2:
                time.sleep(0.05)
            if is_daemon_killed:
                os.kill(group.pids[0], signal.SIGKILL)
            start = time.monotonic()
            while status()["state"] != "done":
                time.sleep(0.05)
            record("takeover", 3, "done_after_kill_s" if is_daemon_killed
                   else "done_without_kill_s", [time.monotonic() - start])
        finally:
            group.kill_all()


def fit(points):
    """Least squares line: (intercept, slope, largest absolute residual)."""
    n = len(points)
    if n < 2:
        return points[0][1], 0.0, 0.0
    mean_x = sum(p[0] for p in points) / n
    mean_y = sum(p[1] for p in points) / n
    sxx = sum((p[0] - mean_x) ** 2 for p in points)
    if sxx == 0:
        return mean_y, 0.0, max(abs(p[1] - mean_y) for p in points)
    slope = sum((p[0] - mean_x) * (p[1] - mean_y) for p in points) / sxx
    residual = max(abs(p[1] - (mean_y + slope * (p[0] - mean_x)))
                   for p in points)
    return mean_y - slope * mean_x, slope, residual


def carry_over_other_parts():
    """Carries over the rows of parts that this run did not measure."""
    measured = {r["part"].split("_")[0] for r in ROWS}
    try:
        with open(BENCH_DIR + "/slopes.csv", newline="") as f:
            old = list(csv.DictReader(f))
    except FileNotFoundError:
        return
    for r in old:
        if r["part"].split("_")[0] not in measured:
            ROWS.append({k: (v if k in ("part", "figure") else float(v))
                         for k, v in r.items()})


def write_results():
    with open(BENCH_DIR + "/slopes.csv", "w", newline="") as f:
        out = csv.DictWriter(f, ["part", "x", "figure", "mean", "least",
                                 "most"], lineterminator="\n")
        out.writeheader()
        for row in ROWS:
            out.writerow({k: ("%.6g" % v if isinstance(v, float) else v)
                          for k, v in row.items()})
    with open(BENCH_DIR + "/slopes.txt", "w") as f:
        f.write("part figure intercept slope largest_residual points\n")
        for key in dict.fromkeys((r["part"], r["figure"]) for r in ROWS):
            points = [(r["x"], r["mean"]) for r in ROWS
                      if (r["part"], r["figure"]) == key]
            intercept, slope, residual = fit(points)
            f.write("%s %s %.5g %.5g %.3g %d\n" %
                    (key[0], key[1], intercept, slope, residual,
                     len(points)))


def plot():
    data = {}
    for r in ROWS:
        data.setdefault((r["part"], r["figure"]), []).append(
            (r["x"], r["mean"], r["least"], r["most"]))
    script = ["set terminal pngcairo size 1100,800", "set output '%s'" %
              (BENCH_DIR + "/slopes.png"), "set multiplot layout 2,2",
              "set key left top", "set xlabel 'daemons'"]
    plots = [("daemons_idle", "control_cpu_percent", "% of a core, idle"),
             ("daemons_load", "control_cpu_percent", "% of a core, 2 req/s"),
             ("daemons_load", "peer_received_bytes", "B/s received, 2 req/s"),
             ("daemons_idle", "rss_mb", "MB resident, idle")]
    for part, figure, title in plots:
        points = data.get((part, figure), [])
        if not points:
            continue
        block_name = "$d%d" % len(script)
        block = "\n".join("%g %g %g %g" % p for p in points)
        script.insert(0, "%s << EOD\n%s\nEOD" % (block_name, block))
        script.append("plot %s using 1:2:3:4 with yerrorlines title '%s'" %
                      (block_name, title))
    script.append("unset multiplot")
    subprocess.run(["gnuplot"], input="\n".join(script).encode(), check=False)


def main():
    if "daemons" in PARTS:
        part_daemons()
    if "load" in PARTS:
        part_load()
    if "targets" in PARTS:
        part_entries("targets", (10, 100, 300, 600),
                     lambda n: make_config(n))
    if "teams" in PARTS:
        part_entries("teams", (10, 100, 1000, 3200),
                     lambda n: make_config(10, teams=n))
    if "models" in PARTS:
        part_entries("models", (1, 4, 11),
                     lambda n: make_config(44, models=n))
    if "config" in PARTS:
        part_config()
    if "streams" in PARTS:
        part_streams()
    if "items" in PARTS:
        part_items()
    if "chunks" in PARTS:
        part_chunks()
    if "takeover" in PARTS:
        part_takeover()
    carry_over_other_parts()
    write_results()
    plot()


if __name__ == "__main__":
    main()

"""Stand-ins for the platform: its metadata store and its workers.

Both follow the users' protocol page and listen on loopback addresses only.
What a worker does with a request is a function that the test passes in; without
one it behaves like a sound worker.
"""
import base64
import json
import socket
import threading
import time
import urllib.parse

REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def get(self, name):
        return self.headers.get(name.lower())


def read_request(f):
    """Reads one request; returns None at the end of the connection."""
    line = f.readline(65536)
    if not line or not line.strip():
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        line = f.readline(65536)
        if not line:
            return None
        line = line.decode("latin-1").strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(f.readline().split(b";")[0], 16)
            if size == 0:
                while f.readline().strip():
                    pass
                break
            body += f.read(size)
            f.readline()
    else:
        left = int(headers.get("content-length", "0"))
        body = f.read(left) if left else b""
        if len(body) < left:
            return None
    return Request(method, target, headers, body)


def head(status, headers):
    text = "HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, "Status"))
    for name, value in headers:
        text += "%s: %s\r\n" % (name, value)
    return (text + "\r\n").encode("latin-1")


def message(status, headers, body):
    return head(status, headers + [("Content-Length", len(body))]) + body


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Server:
    """Accepts connections on a free port of a loopback address; one thread a
    connection."""

    def __init__(self, ip):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((ip, 0))
        self.sock.listen(512)
        self.address = "%s:%d" % self.sock.getsockname()
        self.is_closed = False
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.is_closed:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(conn,),
                             daemon=True).start()

    def serve(self, conn):
        f = conn.makefile("rb")
        try:
            while True:
                req = read_request(f)
                if req is None or not self.handle(conn, req):
                    break
        except (OSError, ValueError):
            pass
        finally:
            f.close()
            try:
                conn.close()
            except OSError:
                pass

    def close(self):
        self.is_closed = True
        self.sock.close()


class Store(Server):
    """The metadata store: rows with versions, conditional transactions, a feed
    of changes, and objects."""

    def __init__(self, ip):
        self.cond = threading.Condition()
        self.rows = {}
        self.objects = {}
        self.version = 1
        self.started = time.monotonic()
        self.calls = 0
        # Set by a test: called with each request before it is done; returns
        # None to go on, or bytes to answer instead (empty: close).
        self.intercept = None
        super().__init__(ip)

    def now_ms(self):
        return 1000 + int((time.monotonic() - self.started) * 1000)

    def put(self, table, key, doc, part=""):
        with self.cond:
            self.version += 1
            value = None
            if doc is not None:
                value = base64.b64encode(json.dumps(doc).encode()).decode()
            self.rows[(table, part, key)] = (value, self.version)
            self.cond.notify_all()

    def read(self, table, part, key):
        with self.cond:
            value, _ = self.rows.get((table, part, key), (None, 0))
        return None if value is None else base64.b64decode(value)

    def answer(self, conn, doc, status=200):
        with self.cond:
            doc["row_version"] = self.version
        doc["now_ms"] = self.now_ms()
        conn.sendall(message(status, [("Content-Type", "application/json")],
                             json.dumps(doc).encode()))
        return True

    @staticmethod
    def row(name, value, version):
        doc = {"table_name": name[0], "part": name[1], "key": name[2],
               "row_version": version}
        if value is None:
            doc["deleted"] = True
        else:
            doc["value"] = value
        return doc

    def transact(self, doc):
        """Returns the rows that fail the conditions, or None."""
        with self.cond:
            failed = []
            for c in doc.get("expected_rev", []):
                name = (c["table_name"], c["part"], c["key"])
                value, version = self.rows.get(name, (None, 0))
                if (0 if value is None else version) != c["row_version"]:
                    failed.append(self.row(name, value, version))
            if failed:
                return failed
            self.version += 1
            for u in doc.get("upserts", []):
                name = (u["table_name"], u["part"], u["key"])
                self.rows[name] = (u["value"], self.version)
            for r in doc.get("remove", []):
                name = (r["table_name"], r["part"], r["key"])
                if name in self.rows:
                    self.rows[name] = (None, self.version)
            self.cond.notify_all()
        return None

    def handle(self, conn, req):
        if self.intercept is not None:
            instead = self.intercept(req)
            if instead is not None:
                if instead:
                    conn.sendall(instead)
                return bool(instead)
        with self.cond:
            self.calls += 1
        path = urllib.parse.unquote(req.path)
        if path == "/api/rows-tx":
            failed = self.transact(json.loads(req.body))
            if failed is not None:
                return self.answer(conn, {"rows": failed}, 412)
            return self.answer(conn, {})
        if path == "/api/rows-get":
            return self.answer(conn, self.get_range(req.args))
        if path == "/api/rows-feed":
            return self.answer(conn, self.feed(req.args))
        if path.startswith("/api/blob-"):
            return self.blob(conn, req, path)
        conn.sendall(message(404, [], b""))
        return True

    def get_range(self, args):
        limit = min(int(args.get("max_results") or 500), 500)
        low, high = args.get("from", ""), args.get("target", "")
        with self.cond:
            found = sorted(
                (n for n, r in self.rows.items()
                 if n[0] == args["table_name"] and n[1] == args.get("part", "")
                 and r[0] is not None and n[2] >= low
                 and (not high or n[2] < high)),
                key=lambda n: n[2].encode())
            rows = [self.row(n, *self.rows[n]) for n in found[:limit]]
        return {"rows": rows, "has_more": len(found) > limit}

    def feed(self, args):
        after = int(args.get("after") or 0)
        until = time.monotonic() + int(args.get("wait_ms") or 0) / 1000
        with self.cond:
            while True:
                rows = [self.row(n, *r) for n, r in self.rows.items()
                        if n[0] == args["table_name"] and r[1] > after]
                left = until - time.monotonic()
                if rows or left <= 0:
                    rows.sort(key=lambda r: r["row_version"])
                    return {"rows": rows}
                self.cond.wait(left)

    def blob(self, conn, req, path):
        verb, _, name = path[len("/api/blob-"):].partition("/")
        status, body = 200, b"{}"
        with self.cond:
            if verb == "put" and name in self.objects:
                status = 412
            elif verb == "put":
                self.objects[name] = req.body
            elif verb == "get" and name in self.objects:
                body = self.objects[name]
            elif verb == "get":
                status = 404
            elif verb == "drop":
                self.objects.pop(name, None)
        conn.sendall(message(status, [], body))
        return True


class Worker(Server):
    """A model worker. The body of a request is JSON: {"events": N,
    "pace_ms": M}; the data of event n is "ID-n"."""

    def __init__(self, ip, name, store, service, zone, record, behave=None):
        self.name = name
        self.store = store
        self.service = service
        self.zone = zone
        self.record = record
        self.behave = behave
        self.sequence = 0
        self.born = int(time.time() * 1000)
        super().__init__(ip)
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        while not self.is_closed:
            self.announce()
            time.sleep(1.2)

    def announce(self):
        self.sequence += 1
        self.store.put("servers", self.name, {
            "service": self.service, "addr": self.address,
            "zone": self.zone, "version": "v1", "slot_count": 8,
            "state": "ready", "cold_left_ms": 0, "stage": "both",
            "model_list": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self.sequence, "born": self.born})

    def sign(self, req):
        return [("X-Attempt-Id", req.get("X-Attempt-Id")),
                ("X-Response-Seal", "seal-%s-%s" % (
                    self.name, req.get("X-Attempt-Id")))]

    @staticmethod
    def event(req, n):
        return ("id: %d\ndata: %s-%d\n\n" % (
            n, req.get("X-Attempt-Id"), n)).encode()

    def refuse(self, conn, req, status):
        headers = [("X-Instance-Id", self.name)]
        if req.get("X-Attempt-Id"):
            headers.append(("X-Attempt-Id", req.get("X-Attempt-Id")))
        if status != 421:
            headers.append(("X-Not-Executed", "1"))
        conn.sendall(message(status, headers, b"{}"))
        return True

    def handle(self, conn, req):
        if req.path == "/health":
            conn.sendall(message(200, [("X-Instance-Id", self.name)], b""))
            return True
        attempt = req.get("X-Attempt-Id")
        if attempt is None:
            return self.refuse(conn, req, 400)
        if req.get("X-Expect-Instance") not in (None, self.name):
            return self.refuse(conn, req, 421)
        last = req.get("Last-Event-Id")
        self.record("run", worker=self.name, id=attempt, after=last)
        first = int(last) + 1 if last is not None else 0
        if self.behave is not None:
            done = self.behave(self, conn, req, first)
            if done is not None:
                return done
        return self.stream(conn, req, first)

    def stream(self, conn, req, first, headers=None):
        doc = json.loads(req.body or b"{}")
        conn.sendall(head(200, (self.sign(req) if headers is None else headers)
                          + [("Content-Type", "text/event-stream"),
                             ("Transfer-Encoding", "chunked")]))
        for n in range(first, doc.get("events", 5)):
            conn.sendall(chunk(self.event(req, n)))
            time.sleep(doc.get("pace_ms", 10) / 1000)
        conn.sendall(b"0\r\n\r\n")
        return True

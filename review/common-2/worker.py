"""A model worker after PROTOCOL.md. The body of a request says what it
answers: {"events":N,"bytes":B,"pace_ms":M}: N events of B bytes."""

import json
import socketserver
import sys
import time
from http.server import BaseHTTPRequestHandler


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    name = ""

    def log_message(self, *args):
        pass

    def refuse(self, status, header):
        self.send_response(status)
        self.send_header(*header)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def do_GET(self):
        self.send_response(200)
        self.send_header("X-Instance-Id", self.name)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        attempt = self.headers.get("X-Attempt-Id")
        if self.headers.get("X-Expect-Instance", self.name) != self.name:
            self.refuse(421, ("X-Instance-Id", self.name))
            return
        if attempt is None:
            self.refuse(400, ("X-Not-Executed", "1"))
            return
        run = json.loads(body)
        print("run", attempt, flush=True)
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("X-Attempt-Id", attempt)
        self.send_header("X-Response-Seal", self.name)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        first = int(self.headers.get("Last-Event-Id", 0)) + 1
        try:
            for n in range(first, run["events"] + 1):
                text = ("id: %d\ndata: %s\n\n" % (
                    n, event_text(attempt, n, run.get("bytes", 0)))).encode()
                self.wfile.write(b"%x\r\n%s\r\n" % (len(text), text))
                self.wfile.flush()
                time.sleep(run.get("pace_ms", 0) / 1000)
            self.wfile.write(b"0\r\n\r\n")
        except OSError:
            self.close_connection = True


def event_text(attempt, n, size):
    head = "%s-%d" % (attempt, n)
    return head + "." * max(0, size - len(head))


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 256


def main():
    args = dict(a[2:].split("=", 1) for a in sys.argv[1:])
    Handler.name = args["id"]
    Server(("127.0.0.1", int(args["port"])), Handler).serve_forever()


if __name__ == "__main__":
    main()

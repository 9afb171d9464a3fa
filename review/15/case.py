"""A worker fails a request that it has run with a 503 that doesn't say that the
request was not executed. The client of a request that may run only once gets the
503, which promises that it has not run."""
import os
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "common3"))
import fleet as fl


def failing(status):
    """Runs the request, then fails it: no X-Not-Executed, as it has run."""
    async def behave(worker, req, writer):
        _, path, headers, _ = req
        if not path.startswith("/f/"):
            return None
        writer.write(worker.answer(status, headers.get("x-attempt-id"), b"failed"))
        await writer.drain()
        return True
    return behave


def play(fleet, trouble):
    fleet.start(1, 2, pace_ms=5, events=5)
    promised = []
    for n, status in enumerate(["503 Service Unavailable", "429 Too Many Requests",
                                "408 Request Timeout"]):
        for w in fleet.workers:
            w.behave = failing(status) if trouble else None
        attempt = "%016x" % (0x9C41D07BE2A35F60 + n)
        a = fleet.ask(fleet.daemons[0], "/f/a", attempt)
        ran = [w.id for w in fleet.workers for _, i, _ in w.runs if i == attempt]
        fleet.record.write("/f/a %s: %d, run by %s" % (attempt, a.status, ran))
        if a.status in (408, 421, 429, 503) and ran:
            promised.append("%d" % a.status)
    if promised:
        return "REFUSED: %s for requests that have run" % ", ".join(promised)
    return ""


if __name__ == "__main__":
    fl.main(CASE, play)

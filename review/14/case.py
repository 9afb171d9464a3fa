"""A request with a long attempt id runs under another id, which no client
sent."""
import os
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "common3"))
import fleet as fl

ID_BYTES = 160  # far below header_bytes, 16384


def play(fleet, trouble):
    fleet.start(1, 2, pace_ms=5, events=5)
    sent = set()
    for path in ("/q/a", "/f/a"):
        for n in range(3):
            attempt = ("%016x" % (0x9C41D07BE2A35F60 + n)) * (
                ID_BYTES // 16 if trouble else 1)
            sent.add(attempt)
            a = fleet.ask(fleet.daemons[0], path, attempt)
            fleet.record.write("%s %s: %d, the answer names %s" % (
                path, attempt, a.status, a.headers.get("x-attempt-id")))
    foreign = [(w.id, attempt) for w in fleet.workers
               for _, attempt, path in w.runs
               if not path.startswith("/q/warm") and attempt not in sent]
    for wid, attempt in foreign:
        fleet.record.write("%s ran %s, which nobody sent" % (wid, attempt))
    if foreign:
        return "UNASKED: %d requests ran under an id that no client sent" % (
            len(foreign))
    return ""


if __name__ == "__main__":
    fl.main(CASE, play)

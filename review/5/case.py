"""One worker in each of three zones. A full worker turns one item away; the item
never reaches a worker again."""
import time

from fleet import main

ITEMS = 10
ITEM_TTL_S = 60


def turn_one_away(fleet, has_trouble):
    left = [1 if has_trouble else 0]

    def behave(worker, conn, req, _first):
        with fleet.lock:
            is_full = (left[0] > 0 and worker is fleet.workers[0] and
                       req.path.startswith("/lots/"))
            left[0] -= is_full
        if not is_full:
            return None
        fleet.record("turned_away", worker=worker.name,
                     id=req.get("X-Attempt-Id"))
        return worker.refuse(conn, req, 503)

    return behave


def case(fleet, has_trouble):
    behave = turn_one_away(fleet, has_trouble)
    for _ in range(3):
        fleet.add_worker(behave)
    fleet.start(3)
    job, status = fleet.submit(
        0, [(fleet.new_id(), fleet.body(20)) for _ in range(ITEMS)])
    if status != 202:
        return True
    listed = 0
    until = time.monotonic() + ITEM_TTL_S + 15
    while listed < ITEMS and time.monotonic() < until:
        time.sleep(0.5)
        page = fleet.results(0, job)[1]
        listed = len(page["results"]) if page else listed
    pages = [fleet.results(n, job)[1] for n in range(3)]
    listed = max([len(p["results"]) for p in pages if p] or [0])
    fleet.record("end_of_day", listed=listed, of=ITEMS)
    return listed == ITEMS


main(__file__, case)

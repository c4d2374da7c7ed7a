"""Case 3: the notice board breaks off and then stalls; its news of a drain never gets through."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import stand_ins as s  # noqa: E402

BREAK_OFF_AFTER_S = 5.0
STALL_S = 2.5  # from then on, how long a new watch waits for its turn at the board
DRAIN_AFTER_S = 6.0
TOLD_AT_LATEST_S = 7.0
GRACE_S = 1.0 + 0.05
WATCHED_FOR_S = 6.0  # after the grace has ended
REQUESTS_PER_S = 20
SIZE = 20_000
LIMIT_MS = 2500


def size_of(_):
    return SIZE


def delay_of(_, size):
    return 0.01 + size / s.FLOW_BYTES_PER_S


async def case(record):
    caches = [s.Cache(record, f"s-box-{i}", size_of, delay_of) for i in range(1, 5)]
    origin = s.Cache(record, "s-origin", size_of, delay_of)
    board = s.Board(record)
    board.last = 1
    for server in caches + [origin]:
        await server.start()
    await board.start()
    config = s.small_deployment(board.address, [(c.name, c.address) for c in caches],
                                origin.address)
    members = config["known"]["notices"][0]["pool"]["members"]
    router = s.Router(record, config)
    try:
        await router.ready()
        started_at = time.time()
        client = s.Client(record, "client-1", router.port, 1)
        client.quiet = True
        await client.connect()
        drained, event, put_up_at, number = caches[0], None, None, 0
        is_stalled = not s.TROUBLE
        while True:
            now = time.time()
            if not is_stalled and now > started_at + BREAK_OFF_AFTER_S:
                is_stalled = True
                board.break_off(STALL_S)
            if event is None and now > started_at + DRAIN_AFTER_S:
                event = board.put_up({"pool": {"revision": 2, "complete": False, "members": [
                    {**members[0], "phase": "terminating"}]}})
                put_up_at = time.time()
            if event and now > put_up_at + TOLD_AT_LATEST_S + GRACE_S + WATCHED_FOR_S:
                break
            number += 1
            await client.send("asset", f"{number:016x}", 0, SIZE, LIMIT_MS)
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.sleep(1)
        before = sum(1 for at, _, _ in drained.fetches if at < put_up_at)
        arrived_at = board.told.get(event)
        told_at = min(arrived_at or put_up_at + TOLD_AT_LATEST_S, put_up_at + TOLD_AT_LATEST_S)
        late = [(at, txn) for at, txn, _ in drained.fetches if at > told_at + GRACE_S]
        for at, txn in late:
            record.line(f"LATE: {txn} came to {drained.name} {at - told_at:.3f} s after the router "
                        f"counts as told of its drain")
        record.say(f"the drain was put up at {put_up_at - record.start:.1f} s and "
                   + (f"reached the router after {arrived_at - put_up_at:.2f} s"
                      if arrived_at else "never reached the router"))
        record.say(f"{drained.name} got {before} requests before the drain, and {len(late)} later "
                   f"than {GRACE_S} s after the router counts as told; "
                   f"{len(client.answers)} requests answered in all")
        client.close()
        if before < 10:
            raise s.CannotRun("the box got hardly any requests before its drain")
        return s.BROKEN if late else s.HELD
    finally:
        router.end()


s.play(case, HERE)

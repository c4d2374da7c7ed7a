"""Case 2: a client's connection falls quiet within a message; other requests on it are open."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import stand_ins as s  # noqa: E402

CLIENTS = 4
OPEN_REQUESTS = 2  # of each client, when its connection falls quiet
QUIET_S = 3.0
SLOW_FILL_S = 2.8  # a box gives a fill up after 1.8 to 3.7 s at the earliest
SIZE = 60_000
WRITE_BYTES = 40_000  # a write brings up to 48,000
LIMIT_MS = 5000
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f3%04x"


def size_of(fields):
    return 200 if fields["lane"] == "plan-accept" else SIZE


def delay_of(fields, _):
    return 0.05 if fields["lane"] == "plan-accept" else SLOW_FILL_S


async def use(client, path):
    """Asks for two parts, and right after them sends a write, whole and at once."""
    for piece in range(OPEN_REQUESTS):
        await client.send("video-part", f"{client.number:016x}", piece, SIZE, LIMIT_MS)
    await asyncio.sleep(0.1)
    call, txn, message = client.next_message(
        "plan-accept", f"{client.number + 100:016x}", 0, 200, 3000,
        {"unique": KEY % client.number}, b"x" * WRITE_BYTES)
    if s.TROUBLE:
        path.quiet_at, path.quiet_s = path.carried + len(message) // 2, QUIET_S
    await client.write(message)
    if not s.TROUBLE:  # else it has not come to the router whole, and it is not judged
        client.taken(call, txn, 3000)


async def case(record):
    caches = [s.Cache(record, f"s-box-{i}", size_of, delay_of) for i in range(1, 5)]
    origin = s.Cache(record, "s-origin", size_of, delay_of)
    board = s.Board(record)
    board.last = 1
    for server in caches + [origin]:
        await server.start()
    await board.start()
    router = s.Router(record, s.small_deployment(
        board.address, [(c.name, c.address) for c in caches], origin.address))
    try:
        await router.ready()
        clients, paths = [], []
        for i in range(1, CLIENTS + 1):
            paths.append(s.Path(record, f"client-{i}", router.port))
            await paths[-1].start()
            clients.append(s.Client(record, f"client-{i}", paths[-1].port, i))
            await clients[-1].connect()
        await asyncio.gather(*(use(client, path) for client, path in zip(clients, paths)))
        await asyncio.sleep(LIMIT_MS / 1000 + 0.5)
        kinds, lost = {}, 0
        for client in clients:
            for answer in client.answers:
                kinds[answer[2]] = kinds.get(answer[2], 0) + 1
            for txn, written_at, limit in client.open.values():
                lost += 1
                ended = (f"connection ended after {client.ended_at - written_at:.3f} s: "
                         f"{client.end_reason}") if client.ended_at else "connection still open"
                record.line(f"LOST: {client.name}'s {txn}, client's limit {limit} s, {ended}")
        record.say(f"answers {kinds}; taken and not answered: {lost}")
        for client in clients:
            client.close()
        if not kinds and not lost:
            raise s.CannotRun("nothing was taken")
        return s.BROKEN if lost else s.HELD
    finally:
        router.end()


s.play(case, HERE)

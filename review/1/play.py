"""Case 1: clients that read at most 1 MB a second make the router's memory grow without end."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
import stand_ins as s  # noqa: E402

MEMORY_MB = 192
SLOW_READERS = 4
READ_BYTES_PER_S = 1_000_000
OTHER_CLIENTS = 3
SECONDS = 100
MIN_BYTES, MAX_BYTES = 60_000, 240_000  # an object holds at most 240,000
REQUESTS_PER_S = 8.0  # of each client; 1.2 MB a second
MAX_OPEN = 20  # of each client; the protocol allows 32
# What a connection over Ethernet has; with loopback's segments of 64 KiB the kernel holds megabytes.
SEGMENT_BYTES = 1448
RECEIVE_BUFFER_BYTES = 32_768
LIMIT_MS = 5000


def size_of(fields):
    return random.Random(fields["name"] + fields["piece"]).randrange(MIN_BYTES, MAX_BYTES)


def delay_of(_, size):
    return 0.02 + size / s.FLOW_BYTES_PER_S


async def ask(client, end):
    """Asks for the parts of videos one after another, at a steady pace, at most MAX_OPEN at a time."""
    random_source = random.Random(client.number)
    piece, item = 0, f"{random_source.getrandbits(64):016x}"
    next_at = time.time()
    while time.time() < end and not client.ended_at:
        await asyncio.sleep(max(0.0, next_at - time.time()))
        next_at = max(next_at + 1 / REQUESTS_PER_S, time.time() - 0.5)
        # The time that slow reading takes is not counted.
        await client.withdraw_overdue(client.unread_bytes / READ_BYTES_PER_S)
        if len(client.open) >= MAX_OPEN or time.time() < client.stay_away_until:
            continue
        size = size_of({"name": item, "piece": str(piece)})
        try:
            await client.send("video-part", item, piece, size, LIMIT_MS)
        except ConnectionError:
            return
        piece += 1
        if piece == 14:
            piece, item = 0, f"{random_source.getrandbits(64):016x}"


async def case(record):
    caches = [s.Cache(record, f"s-box-{i}", size_of, delay_of) for i in range(1, 5)]
    origin = s.Cache(record, "s-origin", size_of, delay_of)
    board = s.Board(record)
    board.last = 1
    for server in caches + [origin]:
        server.quiet = True
        await server.start()
    await board.start()
    config = s.small_deployment(board.address, [(c.name, c.address) for c in caches],
                                origin.address)
    config["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    router = s.Router(record, config)
    try:
        await router.ready()
        clients = []
        for i in range(1, SLOW_READERS + OTHER_CLIENTS + 1):
            rate = READ_BYTES_PER_S if s.TROUBLE and i <= SLOW_READERS else 0
            clients.append(s.Client(record, f"client-{i}", router.port, i, rate,
                                    RECEIVE_BUFFER_BYTES, SEGMENT_BYTES))
        end = time.time() + SECONDS
        tasks = []
        for client in clients:
            await client.connect()
            tasks.append(asyncio.ensure_future(ask(client, end)))
        limit = MEMORY_MB << 20
        peak, was_killed, next_line = 0, False, 0.0
        while time.time() < end:
            await asyncio.sleep(0.05)
            memory = router.memory_bytes()
            peak = max(peak, memory)
            if time.time() >= next_line:
                next_line = time.time() + 1
                kinds = {}
                for client in clients:
                    for answer in client.answers:
                        kinds[answer[2]] = kinds.get(answer[2], 0) + 1
                record.line(f"memory of the router {memory / 2**20:.1f} MiB; clients got {kinds}, "
                            f"{sum(len(c.open) for c in clients)} open")
            if router.process.poll() is not None:
                record.say(f"the router ended by itself: {router.process.returncode}")
                return s.BROKEN
            if memory > limit:
                # The platform kills a router that is over its limit.
                record.line(f"memory {memory / 2**20:.1f} MiB is over {MEMORY_MB} MiB: killed")
                router.process.kill()
                router.process.wait()
                was_killed = True
                break
        await asyncio.sleep(0.5)
        for task in tasks:
            task.cancel()
        served = sum(1 for c in clients for a in c.answers if a[2] == "served")
        lost = sum(len(c.open) for c in clients)
        others = sum(len(c.open) for c in clients[SLOW_READERS:])
        record.say(f"peak of the router's memory {peak / 2**20:.1f} MiB, limit {MEMORY_MB} MiB, "
                   f"after {record.now():.0f} s; {served} requests served")
        if was_killed:
            record.say(f"killed for memory; {lost} requests that it had taken were not "
                       f"answered, {others} of them of clients that read fast")
        for client in clients:
            client.close()
        if served < 100:
            raise s.CannotRun("hardly anything was served")
        return s.BROKEN if was_killed else s.HELD
    finally:
        router.end()


s.play(case, HERE)

"""A client's second try of a keyed request: how long after the first try is it still sent to the main store?"""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from stand_ins import (BROKEN, HELD, NOT_RUN, TROUBLE, Board, Cache, Client, member, reset, run_case,  # noqa: E402
                       wait_until_serving)

WINDOW = 2.0  # dedup-window of plan-accept: the main store drops a repeat for two seconds
SLACK = 0.05  # every time limit on sockets is extended by 50 ms
WAY = 0.013  # from a client to the router: 3.5 to 9.9 ms, and up to 34% more
REQUESTS = 12  # each with an object and a key of its own
TROUBLED = 2  # of these, how many lose an answer and then their connection


FIRST_OBJECT = 0x7F3A9C21E0B4D600


class Store:
    """The main store: runs a request, and drops a repeat of its key for two seconds after the run."""

    def __init__(self, record):
        self.record = record
        self.runs = {}  # key: times of the runs
        self.sent = {}  # key: times at which the router's request reached a cache whole

    def take(self, fetch):
        now = time.time()
        runs = self.runs.setdefault(fetch.key, [])
        if runs and now < runs[-1] + WINDOW:
            self.record.add(f"the main store drops a repeat of {fetch.key}, {now - runs[-1]:.3f} s after its run")
            return
        runs.append(now)
        self.record.add(f"the main store RUNS {fetch.key}, run {len(runs)}")


async def play(record, site):
    store = Store(record)

    async def on_fetch(fetch):
        if fetch.fields["lane"] != "plan-accept":
            return fetch.serve(b"x" * 200, "t1")
        sent = store.sent.setdefault(fetch.key, [])
        sent.append(time.time())
        await asyncio.sleep(0.02)
        store.take(fetch)
        await asyncio.sleep(0.04)
        troubled = TROUBLE and int(fetch.fields["name"], 16) < FIRST_OBJECT + TROUBLED
        if troubled and len(sent) == 1:
            return record.add(f"the answer to {fetch.id} gets lost between the main store and {fetch.cache.name}")
        if troubled and len(sent) == 2:
            await asyncio.sleep(0.6)
            record.add(f"{fetch.cache.name} resets the connection under {fetch.id}")
            return reset(fetch.writer)
        fetch.serve(b"accepted " + fetch.key.encode(), "t1")

    caches = [Cache(f"s-box-{n}", record, on_fetch) for n in range(1, 9)]
    parent = Cache("s-mid-1", record, on_fetch)
    origin = Cache("s-store", record, on_fetch)
    await site.add(*caches, parent, origin)
    board = Board(record, [member(cache) for cache in caches] +
                  [member(parent, "parent", "hub", size=40), member(origin, "origin", "hub", size=40)])
    await site.add(board)
    await site.start_router("router", site.write_config(board))
    if not await wait_until_serving(record, site.listen):
        return NOT_RUN, "the router does not serve"
    client = await Client(record, way=WAY).connect(site.listen)

    async def request(number):
        """One request of a client that gives a try up after half of the class's give-up time and retries at once,
        a single time and within the window. It stays away as long as a refusal asks for."""
        key = os.urandom(16).hex()
        item = f"{number:016x}"
        first_sent_at = time.time()
        for second in (False, True):
            fields = {"txn": os.urandom(8).hex(), "limit": "1500", "unique": key, "item": item, "slice": "0",
                      "set": "17", "ram": "12.5"}
            if second and time.time() > first_sent_at + WINDOW:
                break
            if second:
                fields["second"] = "1"
            call, answer = client.call("plan-accept", fields, b"plan")
            done, _ = await asyncio.wait([answer], timeout=1.5)
            if not done:
                client.withdraw(call)
            elif answer.result() and answer.result()[0] is None:
                break
            elif answer.result() and "later" in answer.result()[0][1]:
                await asyncio.sleep(int(answer.result()[0][1]["later"]) / 1000)
        return key

    keys = await asyncio.gather(*[request(FIRST_OBJECT + n) for n in range(REQUESTS)])
    await asyncio.sleep(0.5)
    late, twice = [], []
    for key in keys:
        first, *others = store.sent.get(key, [0])
        late += [f"{key} was sent again {at - first:.3f} s after its first attempt" for at in others
                 if at > first + WINDOW + SLACK]
        if len(store.runs.get(key, [])) > 1:
            twice.append(f"{key} ran {len(store.runs[key])} times")
    for line in late + twice:
        record.add("BROKEN: " + line)
    if not all(store.runs.get(key) for key in keys):
        return NOT_RUN, "a request did not reach the main store"
    if late or twice:
        return BROKEN, f"{len(late)} sends after the window, {len(twice)} of {TROUBLED} requests with trouble ran twice"
    return HELD, "each request ran once"


run_case(HERE, play)

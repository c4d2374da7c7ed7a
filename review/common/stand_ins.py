"""Stand-ins for clients, caches, the notice board and the platform, for the cases in review/.

Only the standard library. All addresses are loopback addresses with free ports. Every process that
a case starts is ended by the case.
"""
import asyncio
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Simulated KB on the wire's `ram` field for each byte on the socket, as the settings relate them.
STREAM_KB_PER_S = 9100.0
FLOW_BYTES_PER_S = 310_000

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; nothing is said about the rule."""


class Record:
    """Writes what was sent, answered and run, each line with its time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.time()

    def now(self):
        return time.time() - self.start

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.line(text)
        print(text, flush=True)


# ---- MessagePack, as far as the protocol's messages need it ----


def pack(value):
    if value is None:
        return b"\xc0"
    if value is True:
        return b"\xc3"
    if isinstance(value, int):
        if value < 128:
            return bytes([value])
        return b"\xce" + struct.pack(">I", value)
    if isinstance(value, str):
        raw = value.encode()
        if len(raw) < 32:
            return bytes([0xA0 | len(raw)]) + raw
        return b"\xd9" + bytes([len(raw)]) + raw
    if isinstance(value, bytes):
        return b"\xc6" + struct.pack(">I", len(value)) + value
    if isinstance(value, list):
        return bytes([0x90 | len(value)]) + b"".join(pack(item) for item in value)
    if isinstance(value, dict):
        items = b"".join(pack(key) + pack(item) for key, item in value.items())
        return bytes([0x80 | len(value)]) + items
    raise TypeError(type(value))


class Partial(Exception):
    """More bytes are needed."""


def unpack(data, at):
    """Returns the value at a position and the position behind it."""

    def need(count, position):
        if position + count > len(data):
            raise Partial
        return bytes(data[position : position + count])

    kind = need(1, at)[0]
    at += 1
    if kind < 0x80:
        return kind, at
    if 0x80 <= kind < 0x90:
        return unpack_map(data, at, kind & 15)
    if 0x90 <= kind < 0xA0:
        return unpack_list(data, at, kind & 15)
    if 0xA0 <= kind < 0xC0:
        size = kind & 31
        return need(size, at).decode(), at + size
    if kind in (0xC0, 0xC2, 0xC3):
        return {0xC0: None, 0xC2: False, 0xC3: True}[kind], at
    if kind in (0xCC, 0xCD, 0xCE, 0xCF):
        size = {0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}[kind]
        return int.from_bytes(need(size, at), "big"), at + size
    if kind in (0xC4, 0xC5, 0xC6, 0xD9, 0xDA, 0xDB):
        width = {0xC4: 1, 0xC5: 2, 0xC6: 4, 0xD9: 1, 0xDA: 2, 0xDB: 4}[kind]
        size = int.from_bytes(need(width, at), "big")
        raw = need(size, at + width)
        return (raw if kind < 0xD0 else raw.decode()), at + width + size
    if kind in (0xDC, 0xDE):
        count = int.from_bytes(need(2, at), "big")
        return (unpack_list if kind == 0xDC else unpack_map)(data, at + 2, count)
    raise ValueError(f"unreadable answer: byte {kind:#x}")


def unpack_list(data, at, count):
    items = []
    for _ in range(count):
        item, at = unpack(data, at)
        items.append(item)
    return items, at


def unpack_map(data, at, count):
    items = {}
    for _ in range(count):
        key, at = unpack(data, at)
        items[key], at = unpack(data, at)
    return items, at


def request_message(call, class_name, fields, body=b""):
    return pack([0, call, class_name, [fields, body]])


# ---- Servers ----


def body_of(name, piece, size):
    """The bytes of a part of an object: the same at every cache."""
    seed = f"{name}/{piece};".encode()
    return (seed * (size // len(seed) + 1))[:size]


class Cache:
    """A cache, or the origin, that answers every fetch as if it held the object."""

    def __init__(self, record, name, sizes, delay_of):
        self.record, self.name, self.sizes, self.delay_of = record, name, sizes, delay_of
        self.fetches = []  # (time, id, fields)
        self.address = None
        self.server = None
        self.quiet = False  # record fetches only in `fetches`

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        tasks = {}
        try:
            while True:
                line = (await reader.readline()).decode()
                if not line:
                    break
                words = line.split()
                if not words:
                    continue
                if words[0] == "fetch":
                    at = time.time()
                    fields = dict(f.split("=", 1) for f in words[2].split(",") if "=" in f)
                    if int(words[3]) > 0:
                        await reader.readexactly(int(words[3]))
                    self.fetches.append((at, words[1], fields))
                    if not self.quiet:
                        self.record.line(f"{self.name} received {line.strip()}")
                    tasks[words[1]] = asyncio.ensure_future(self.answer(words[1], fields, writer))
                elif words[0] == "abort":
                    if words[1] in tasks:
                        tasks.pop(words[1]).cancel()
                    self.record.line(f"{self.name} received abort {words[1]}")
                elif words[0] in ("alive", "stats"):
                    writer.write(f"{words[1]} green rep=inflight:1 0\r\n\r\n".encode())
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            for task in tasks.values():
                task.cancel()
            writer.close()

    async def answer(self, request, fields, writer):
        born = int(time.time() * 1000)
        size = self.sizes(fields)
        await asyncio.sleep(self.delay_of(fields, size))
        body = body_of(fields["name"], fields["piece"], size)
        head = f"{request} served sum={fields['name']}{fields['piece']},t0={born} {size}\r\n"
        writer.write(head.encode() + body + b"\r\n")
        if not self.quiet:
            self.record.line(f"{self.name} answered {request} served, {size} bytes")


class Board:
    """The notice board. `wait` is how long a new watch waits until the board gets to it."""

    def __init__(self, record, wait=0.0):
        self.record, self.wait = record, wait
        self.events = []  # (number, json text, time at which it was put up)
        self.last = 0
        self.watches = set()
        self.writers = set()
        self.told = {}  # number: time at which it was first written to a watch
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def break_off(self, wait):
        """Closes all watches; from now on a new watch waits so long for its turn."""
        self.record.line(f"board breaks off; a new watch now waits {wait} s for its turn")
        self.wait = wait
        for writer in list(self.writers):
            writer.close()

    def put_up(self, event):
        self.last += 1
        event = {"rev": self.last, **event}
        self.events.append((self.last, json.dumps(event), time.time()))
        self.record.line(f"board put up event {self.last}: {json.dumps(event)}")
        for wake in self.watches:
            wake.set()
        return self.last

    async def serve(self, reader, writer):
        wake = asyncio.Event()
        self.writers.add(writer)
        self.record.line("board: the router has connected")
        heartbeat = None
        ended = None
        try:
            line = await reader.readline()
            if not line:
                return
            seen = int(line.split()[1])
            self.record.line(f"board: {line.decode().strip()}")
            ended = asyncio.ensure_future(reader.read())
            done, _ = await asyncio.wait([ended], timeout=self.wait)
            if done:
                self.record.line("board: the router has closed its watch before it was its turn")
                return
            self.watches.add(wake)
            self.record.line("board: begins to answer the watch")
            while not ended.done():
                for number, text, _ in self.events:
                    if number > seen:
                        writer.write(text.encode() + b"\n")
                        self.told.setdefault(number, time.time())
                        self.record.line(f"board wrote event {number} to the watch")
                        seen = number
                writer.write(f"{self.last}\n".encode())
                wake.clear()
                heartbeat = asyncio.ensure_future(wake.wait())
                await asyncio.wait([heartbeat, ended], timeout=1.0,
                                   return_when=asyncio.FIRST_COMPLETED)
                heartbeat.cancel()
            self.record.line("board: the watch has ended")
        except (ConnectionError, ValueError, IndexError, asyncio.CancelledError):
            pass
        finally:
            if ended:
                ended.cancel()
            self.watches.discard(wake)
            self.writers.discard(writer)
            writer.close()


# ---- The platform ----


def small_deployment(board, boxes, origin):
    """The settings of example/config.json, with a class of writes beside its two classes."""
    with open(os.path.join(ROOT, "example", "config.json"), encoding="utf-8") as file:
        config = json.load(file)
    config.update(name="n1", listen="127.0.0.1:0", board=board, seed="8c1f30d27a5be964",
                  flow_bytes_per_s=FLOW_BYTES_PER_S, link_bytes_per_s=4 * FLOW_BYTES_PER_S)
    settings = config["settings"]
    settings["classes"].append({"name": "plan-accept", "target": 600000, "give-up": 3000000,
                                "points": 3.0, "repeat": "keyed", "dedup-scope": "all",
                                "dedup-window": 2000000})
    domain = settings["domain"]
    domain.update({"lifetime-by-class": [0, 8000000, 0], "stale-for": [0, 20000000, 0],
                   "uncached": [False, False, True], "purge-slack": 300000,
                   "stream-kb-per-s": STREAM_KB_PER_S})
    settings["obligations"].update({"stop-sending-within": 1000000, "answer-slack": 8000})
    settings["ceilings"]["max-attempts"] = 8
    members = [{"id": name, "host_port": address, "locality": "edge", "flavor": "small", "cell": 0,
                "phase": "in_service", "size": 30, "up_since_ms": 0} for name, address in boxes]
    members.append({"id": "s-origin", "host_port": origin, "locality": "hub", "flavor": "origin",
                    "cell": 0, "phase": "in_service", "size": 60, "up_since_ms": 0})
    config["known"] = {"rev": 1, "notices": [
        {"rev": 1, "pool": {"revision": 1, "complete": True, "members": members}}]}
    return config


class Router:
    """One edge router, started with the `run` command of the deploy file."""

    def __init__(self, record, config, environment=None):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
            found = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE)
        if not found:
            raise CannotRun("the deploy file has no run command")
        if not os.access(os.path.join(ROOT, "build", "edge_router"), os.X_OK):
            raise CannotRun("build/edge_router is missing: run the build of the deploy file first")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        os.mkdir(os.path.join(self.folder, "tmp"))
        probe = socket.socket()
        probe.bind(("127.0.0.1", 0))
        self.port = probe.getsockname()[1]
        probe.close()
        self.config_path = os.path.join(self.folder, "config.json")
        config["listen"] = f"127.0.0.1:{self.port}"
        with open(self.config_path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        self.log_path = os.path.join(self.folder, "router.log")
        self.log = open(self.log_path, "wb")
        env = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        env.update(RELAY_NAME=config["name"], RELAY_LISTEN=config["listen"],
                   RELAY_CONFIG=self.config_path, TMPDIR=os.path.join(self.folder, "tmp"))
        env.update(environment or {})
        self.process = subprocess.Popen(["/bin/sh", "-c", found.group(1)], cwd=ROOT, env=env,
                                        stdout=self.log, stderr=self.log)
        record.line(f"started the router: {found.group(1)}")

    async def ready(self):
        """Waits until the router answers `status`."""
        end = time.time() + 30
        while time.time() < end:
            if self.process.poll() is not None:
                raise CannotRun("the router ended at its start: " + self.log_text())
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(pack([0, 1, "status", [{}]]))
                answer = await asyncio.wait_for(reader.read(100), 5)
                writer.close()
                if answer:
                    self.record.line("the router is ready")
                    return
            except (ConnectionError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the router was not ready within 30 s")

    def memory_bytes(self):
        """The process's anonymous memory, without the shared libraries; 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                found = re.search(r"^RssAnon:\s+(\d+) kB", file.read(), re.MULTILINE)
            return int(found.group(1)) * 1024 if found else 0
        except OSError:
            return 0

    def log_text(self):
        self.log.flush()
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()[-4000:]

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(5)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        for line in self.log_text().splitlines():
            self.record.line(f"router's log: {line}")
        self.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Path:
    """The network between one client and the router: a proxy that can fall quiet towards the router.

    The other direction and both ends stay open meanwhile.
    """

    def __init__(self, record, name, router_port):
        self.record, self.name, self.router_port = record, name, router_port
        self.port = None
        self.carried = 0  # bytes that have reached the router
        self.quiet_at = None  # falls quiet once it has carried so many bytes
        self.quiet_s = 0.0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        to_client = asyncio.ensure_future(asyncio.sleep(0))
        try:
            router_reader, router_writer = await asyncio.open_connection("127.0.0.1",
                                                                         self.router_port)
            to_client = asyncio.ensure_future(self.carry_back(router_reader, writer))
            while data := await reader.read(1 << 16):
                if self.quiet_at is not None and self.carried + len(data) > self.quiet_at:
                    count = self.quiet_at - self.carried
                    router_writer.write(data[:count])
                    self.carried += count
                    self.quiet_at = None
                    self.record.line(f"{self.name}'s path falls quiet, {len(data) - count} bytes "
                                     "of a message are on their way")
                    await asyncio.sleep(self.quiet_s)
                    self.record.line(f"{self.name}'s path goes on")
                    data = data[count:]
                router_writer.write(data)
                self.carried += len(data)
            router_writer.close()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            to_client.cancel()
            writer.close()

    async def carry_back(self, reader, writer):
        try:
            while data := await reader.read(1 << 16):
                writer.write(data)
        except ConnectionError:
            pass
        self.record.line(f"{self.name}'s path: the router has closed the connection")
        writer.close()


# ---- Clients ----


class Client:
    """A client's connection. Requests that it wrote whole are open until an answer has been read.

    `read_bytes_per_s` limits how fast it reads; 0 for no limit. `receive_buffer` and `segment` are
    the size of its receive buffer and the largest segment that it takes; 0 for those of loopback.
    """

    def __init__(self, record, name, port, number, read_bytes_per_s=0, receive_buffer=0,
                 segment=0):
        self.record, self.name, self.port, self.number = record, name, port, number
        self.read_bytes_per_s, self.receive_buffer = read_bytes_per_s, receive_buffer
        self.segment = segment
        self.sock = None
        self.last_call = 0
        self.open = {}  # call: (txn, written whole at, limit in s)
        self.sizes = {}  # call: bytes of the answer that is expected
        self.withdrawn = set()
        self.answers = []  # (call, txn, kind, fields, size, seconds)
        self.ended_at = None  # when the connection ended, and how
        self.end_reason = None
        self.stay_away_until = 0
        self.on_answer = None
        self.quiet = False

    async def connect(self):
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        if self.segment:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.segment)
        await asyncio.get_running_loop().sock_connect(self.sock, ("127.0.0.1", self.port))
        self.reader = asyncio.ensure_future(self.read())

    def next_message(self, class_name, item, piece, size, limit_ms, extra=None, body=b""):
        self.last_call += 1
        txn = f"{self.number:04x}{self.last_call:012x}"
        fields = {"txn": txn, "limit": str(limit_ms), "item": item, "slice": str(piece),
                  "set": "17", "ram": f"{size / FLOW_BYTES_PER_S * STREAM_KB_PER_S:.1f}"}
        fields.update(extra or {})
        return self.last_call, txn, request_message(self.last_call, class_name, fields, body)

    async def write(self, data):
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    @property
    def unread_bytes(self):
        """What is to be read until the requests that are open now are answered."""
        return sum(self.sizes.get(call, 0) for call in self.open)

    async def send(self, *args, **kwargs):
        call, txn, message = self.next_message(*args, **kwargs)
        self.sizes[call] = args[3]
        await self.write(message)
        self.taken(call, txn, args[4])
        return call

    def taken(self, call, txn, limit_ms):
        self.open[call] = (txn, time.time(), limit_ms / 1000)
        if not self.quiet:
            self.record.line(f"{self.name} wrote request {txn} whole")

    async def read(self):
        loop = asyncio.get_running_loop()
        data = bytearray()
        step = 0.02
        try:
            while True:
                count = int(self.read_bytes_per_s * step) if self.read_bytes_per_s else 1 << 18
                began = time.time()
                received = await loop.sock_recv(self.sock, count)
                if not received:
                    self.end_reason = "closed by the router"
                    break
                data += received
                self.take_answers(data)
                if self.read_bytes_per_s:
                    pause = len(received) / self.read_bytes_per_s - (time.time() - began)
                    if pause > 0:
                        await asyncio.sleep(pause)
        except ConnectionError as error:
            self.end_reason = f"reset ({error.strerror})"
        self.ended_at = time.time()
        self.record.line(f"{self.name}'s connection ended: {self.end_reason}, "
                         f"{len(self.open)} requests open")

    def take_answers(self, data):
        at = 0
        while at < len(data):
            try:
                (_, call, error, result), behind = unpack(data, at)
            except Partial:
                break
            at = behind
            self.take_answer(call, error, result)
        del data[:at]

    def take_answer(self, call, error, result):
        if call not in self.open:
            kind = "late answer" if call in self.withdrawn else "SECOND answer"
            self.record.line(f"{self.name} got a {kind} to call {call}")
            return
        txn, written_at, _ = self.open.pop(call)
        seconds = time.time() - written_at
        if error:
            kind, fields, size = error[0], error[1], 0
            if "later" in fields:
                self.stay_away_until = time.time() + int(fields["later"]) / 1000
        else:
            kind, fields, size = "served", result[1], len(result[0])
        self.answers.append((call, txn, kind, fields, size, seconds))
        if not self.quiet:
            self.record.line(f"{self.name} got {kind} for {txn}, {size} bytes, "
                             f"{seconds:.3f} s after its last byte")
        if self.on_answer:
            self.on_answer(call, txn, kind)

    async def withdraw_overdue(self, reading_time=0.0):
        """Gives up requests whose time is over, as the protocol has it."""
        for call, (txn, written_at, limit) in list(self.open.items()):
            if time.time() < written_at + limit + reading_time:
                continue
            self.open.pop(call)
            self.withdrawn.add(call)
            self.record.line(f"{self.name} withdraws {txn}")
            await self.write(pack([2, "withdraw", [call]]))

    def close(self):
        if self.sock:
            self.reader.cancel()
            self.sock.close()


def play(case, folder):
    """Plays a case, prints its verdict and exits with 0, 1 or 2."""
    record = Record(folder)
    record.line(f"TROUBLE={int(TROUBLE)}")

    async def bounded():
        # Also a terminated case ends the processes that it has started.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(case(record), 115)

    try:
        verdict = asyncio.run(bounded())
    except CannotRun as error:
        record.say(f"could not run: {error}")
        verdict = NOT_RUN
    except asyncio.TimeoutError:
        record.say("could not run: the case took too long")
        verdict = NOT_RUN
    except asyncio.CancelledError:
        record.say("could not run: the case was terminated")
        verdict = NOT_RUN
    record.say({HELD: "the rule held", BROKEN: "the rule was BROKEN", NOT_RUN: "no verdict"}[verdict])
    record.file.close()
    sys.exit(verdict)

"""Stand-ins for clients, caches, the main store and the notice board, and the start of the project's programs.

Everything listens on loopback addresses with free ports. All stand-ins run in this process on one event loop; the
project's programs are separate processes. Times are Unix seconds of the system's clock.
"""
import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes what is sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.time()
        self.add(f"start, TROUBLE={1 if TROUBLE else 0}, times in seconds from here")

    def add(self, text):
        self.file.write(f"{time.time() - self.start:8.3f}  {text}\n")
        self.file.flush()


# ---- MessagePack, as much of it as the clients' protocol uses


def pack(value):
    if value is None:
        return b"\xc0"
    if isinstance(value, bool):
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        if value < 128:
            return bytes([value])
        return b"\xcd" + struct.pack(">H", value) if value < 65536 else b"\xce" + struct.pack(">I", value)
    if isinstance(value, str):
        data = value.encode()
        head = bytes([0xA0 | len(data)]) if len(data) < 32 else b"\xd9" + bytes([len(data)])
        return head + data
    if isinstance(value, bytes):
        if len(value) < 256:
            return b"\xc4" + bytes([len(value)]) + value
        return b"\xc5" + struct.pack(">H", len(value)) + value
    if isinstance(value, list):
        return bytes([0x90 | len(value)]) + b"".join(map(pack, value))
    return bytes([0x80 | len(value)]) + b"".join(pack(k) + pack(v) for k, v in value.items())


class Incomplete(Exception):
    pass


def unpack(data, at=0):
    """Returns the value that begins at `at`, and the position behind it."""

    def need(count):
        if at + count > len(data):
            raise Incomplete

    def number(offset, size):
        need(offset + size)
        return int.from_bytes(data[at + offset : at + offset + size], "big")

    need(1)
    first = data[at]
    if first < 0x80:
        return first, at + 1
    if first < 0x90 or first in (0xDE, 0xDF):
        width = {0xDE: 2, 0xDF: 4}.get(first, 0)
        count = number(1, width) if width else first & 0x0F
        at += 1 + width
        result = {}
        for _ in range(count):
            key, at = unpack(data, at)
            result[key], at = unpack(data, at)
        return result, at
    if first < 0xA0 or first in (0xDC, 0xDD):
        width = {0xDC: 2, 0xDD: 4}.get(first, 0)
        count = number(1, width) if width else first & 0x0F
        at += 1 + width
        items = []
        for _ in range(count):
            item, at = unpack(data, at)
            items.append(item)
        return items, at
    if first < 0xC0 or first in (0xD9, 0xDA, 0xDB):
        width = {0xD9: 1, 0xDA: 2, 0xDB: 4}.get(first, 0)
        size = number(1, width) if width else first & 0x1F
        need(1 + width + size)
        return data[at + 1 + width : at + 1 + width + size].decode(), at + 1 + width + size
    if first in (0xC4, 0xC5, 0xC6):
        width = {0xC4: 1, 0xC5: 2, 0xC6: 4}[first]
        size = number(1, width)
        need(1 + width + size)
        return bytes(data[at + 1 + width : at + 1 + width + size]), at + 1 + width + size
    if first == 0xC0:
        return None, at + 1
    if first in (0xC2, 0xC3):
        return first == 0xC3, at + 1
    if 0xCC <= first <= 0xCF:
        width = 1 << (first - 0xCC)
        return number(1, width), at + 1 + width
    raise ValueError(f"unexpected MessagePack byte {first:#x}")


# ---- Servers


def reset(writer):
    """Ends a connection as the kernel does when its process dies."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:  # it is closed already
        pass
    writer.transport.abort()


class Server:
    """A listener on a free loopback port."""

    def __init__(self, name, host="127.0.0.1"):
        self.name = name
        self.host = host
        self.port = 0
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def _serve(self, reader, writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            self.on_disconnect(writer)
            writer.close()

    def on_disconnect(self, writer):
        pass

    def crash(self):
        """The process dies: its listener is closed and its connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)


class Fetch:
    """A request that has reached a cache."""

    def __init__(self, cache, writer, ident, fields, body):
        self.cache, self.writer, self.id, self.fields, self.body = cache, writer, ident, fields, body
        self.at = time.time()

    @property
    def key(self):
        return self.fields.get("dedupe")

    def answer(self, word, body=b"", fields="-"):
        if self.writer.is_closing():
            return
        self.cache.record.add(f"{self.cache.name} answers {self.id}: {word} {fields} {len(body)} bytes")
        head = f"{self.id} {word} {fields} {len(body)}\r\n".encode()
        self.writer.write(head + body + b"\r\n")

    def serve(self, body, tag, born_ms=None):
        self.answer("served", body, f"sum={tag},t0={int(time.time() * 1000) if born_ms is None else born_ms}")


class Cache(Server):
    """A cache, parent or main store on the line protocol. `on_fetch` decides on each request."""

    def __init__(self, name, record, on_fetch):
        super().__init__(name)
        self.record = record
        self.on_fetch = on_fetch
        self.on_other = None  # called with each other command and its connection
        self.hangs = False  # takes requests and answers none
        self.aborted = set()

    async def serve(self, reader, writer):
        while True:
            line = await reader.readline()
            if not line:
                return
            words = line.decode().split()
            if not words:
                continue
            if words[0] == "fetch":
                fields = dict(part.split("=", 1) for part in words[2].split(",") if "=" in part)
                body = await reader.readexactly(int(words[3]) + 2)
                self.record.add(f"{self.name} gets fetch {words[1]} {words[2]} {words[3]}")
                fetch = Fetch(self, writer, words[1], fields, body[:-2])
                result = self.on_fetch(fetch)
                if asyncio.iscoroutine(result):
                    asyncio.ensure_future(result)
                continue
            self.record.add(f"{self.name} gets {line.decode().strip()}")
            if self.on_other:
                self.on_other(words, writer)
            if words[0] == "abort":
                self.aborted.add(words[1])
            elif not self.hangs:
                rep = "rep=inflight:0;x1:0.1;x0:0.5" if words[0] == "stats" else "-"
                writer.write(f"{words[1]} green {rep} 0\r\n\r\n".encode())


class Board(Server):
    """The notice board: numbered events, and a line with the last number every second."""

    def __init__(self, record, members):
        super().__init__("board")
        self.record = record
        self.events = []
        self.changed = asyncio.Condition()
        self.append({"pool": {"revision": 1, "complete": True, "members": members}})

    def append(self, event):
        self.events.append({"rev": len(self.events) + 1, **event})

    async def tell(self, event):
        async with self.changed:
            self.append(event)
            self.record.add(f"the board tells {json.dumps(self.events[-1])}")
            self.changed.notify_all()

    def known(self):
        return {"rev": len(self.events), "notices": list(self.events)}

    async def serve(self, reader, writer):
        line = await reader.readline()
        told = int(line.split()[1])
        while not writer.is_closing():
            while told < len(self.events):
                writer.write(json.dumps(self.events[told], separators=(",", ":")).encode() + b"\n")
                told += 1
            await writer.drain()
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(lambda: told < len(self.events)), 1)
                except asyncio.TimeoutError:
                    writer.write(f"{len(self.events)}\n".encode())


# ---- Clients


class Client:
    """A client's connection. Ids of calls begin with 1. `way` is the time that bytes take in each direction."""

    def __init__(self, record, name="client", way=0.0):
        self.record, self.name, self.way = record, name, way
        self.calls = {}
        self.last_id = 0
        self.bytes_sent = 0

    async def connect(self, address):
        host, port = address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.ensure_future(self._read())
        return self

    async def _read(self):
        data = b""
        try:
            while chunk := await self.reader.read(1 << 16):
                data += chunk
                while data:
                    try:
                        message, size = unpack(data)
                    except Incomplete:
                        break
                    data = data[size:]
                    if self.way:
                        asyncio.get_running_loop().call_later(self.way, self._on_answer, message)
                    else:
                        self._on_answer(message)
        except (ConnectionError, OSError):
            pass
        self.record.add(f"{self.name}: its connection has ended")
        for future in self.calls.values():
            if not future.done():
                future.set_result(None)

    def _on_answer(self, message):
        _, call, error, result = message
        text = f"error {error}" if error else f"served {len(result[0])} bytes {result[1]}" if isinstance(
            result[0], bytes) else str(result)
        self.record.add(f"{self.name}: answer to {call}: {text}")
        future = self.calls.get(call)
        if future and not future.done():
            future.set_result((error, result))

    def call(self, method, fields, body=b""):
        """Sends a request; returns its id and the future of (error, result), or of None if it is lost."""
        self.last_id += 1
        call = self.last_id
        self.calls[call] = asyncio.get_running_loop().create_future()
        self.record.add(f"{self.name}: sends {call} {method} {fields} {len(body)} bytes")
        arguments = [fields, body] if method != "status" else [fields]
        self._write(pack([0, call, method, arguments]))
        return call, self.calls[call]

    def _write(self, data):
        self.bytes_sent += len(data)
        if self.way:
            asyncio.get_running_loop().call_later(self.way, self.writer.write, data)
        else:
            self.writer.write(data)

    def withdraw(self, call):
        self.record.add(f"{self.name}: withdraws {call}")
        self._write(pack([2, "withdraw", [call]]))

    def close(self):
        self.task.cancel()
        self.writer.close()


async def http(address, head, timeout=3.0):
    """Sends one HTTP request on a connection of its own; returns the status, the headers and the body."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(head.encode())
    data = await asyncio.wait_for(_http_answer(reader), timeout)
    writer.close()
    return data


async def _http_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in head[1:] if ":" in line}
    length = int(headers.get("content-length", "0"))
    return int(head[0].split()[1]), headers, await reader.readexactly(length)


async def put(address, path):
    status, _, body = await http(address, f"PUT {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
    return status, body.decode()


# ---- The project's programs


def free_address(host="127.0.0.1"):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, 0))
        return f"{host}:{sock.getsockname()[1]}"


def deploy_command(key):
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        for line in file:
            if line.startswith(key + " "):
                return line.split('"')[1]
    raise RuntimeError(f"deploy/balancer.toml has no {key}")


class Program:
    """One process of the project, started from the root by /bin/sh -c."""

    def __init__(self, record, name, command, environment, log):
        self.record, self.name = record, name
        self.log = open(log, "ab")
        self.command = command
        self.environment = {**os.environ, **environment}

    async def start(self):
        self.record.add(f"{self.name}: started with '{self.command}'")
        self.process = await asyncio.create_subprocess_shell(
            self.command, cwd=ROOT, env=self.environment, stdin=asyncio.subprocess.DEVNULL, stdout=self.log,
            stderr=self.log)
        return self

    def signal(self, number):
        self.record.add(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def stop(self):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.log.close()


async def wait_until_serving(record, address, limit=10.0):
    """Asks `status` as the front does, until it is answered."""
    end = time.time() + limit
    while time.time() < end:
        try:
            client = await Client(record, "front").connect(address)
            _, answer = client.call("status", {})
            reply = await asyncio.wait_for(answer, 1)
            client.close()
            if reply and reply[0] is None:
                return True
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.05)
    return False


def settings(dedup_window_us=2000000, **obligations):
    """The settings of reszlet-edge in small: one location, boxes of one kind, parents and the main store."""
    return {
        "azs": ["hub", "edge"], "zone": 1, "shapes": ["small", "large", "parent", "origin"], "replicas-of-me": 1,
        "registry-mode": "push", "weights": "nominal",
        "ceilings": {"dial-timeout": 400000, "idle-close": 30000000, "max-attempts": 8, "may-cancel": True,
                     "may-duplicate": False, "probing": True, "retry-after": True, "max-retry-after": 500000,
                     "streams-per-conn": 32, "open-cap": 20000},
        "classes": [
            {"name": "video-part", "target": 400000, "aim-stretch": 2.0, "give-up": 5000000, "points": 2.0,
             "late-worth": 0.15, "repeat": "safe", "dedup-scope": "all", "dedup-window": 5000000},
            {"name": "asset", "target": 250000, "aim-stretch": 2.0, "give-up": 2500000, "points": 1.0,
             "late-worth": 0.2, "repeat": "safe", "dedup-scope": "all", "dedup-window": 5000000},
            {"name": "plan-accept", "target": 600000, "give-up": 3000000, "points": 3.0, "late-worth": 0.0,
             "repeat": "keyed", "dedup-scope": "all", "dedup-window": dedup_window_us}],
        "domain": {"class-parts": [True, False, False], "class-stale-worth": [0.7, 0.5, 0.7],
                   "instances-by-zone": [0, 1], "lifetime-by-class": [0, 8000000, 0],
                   "link-in-kb-per-s": [0.0, 119279.0], "merges-fills": True, "note-level": "none",
                   "origin-bears": 3000000, "parent-limit-factor": 2.0, "peers-fill": "location",
                   "price-of-link": 0.02, "purge-settles": 6000000, "purge-slack": 300000, "source-kind": 3,
                   "stale-for": [0, 20000000, 0], "straight": False, "stream-kb-per-s": 9100.0,
                   "uncached": [False, False, True], "upper-cold": 22000000, "upper-cold-from": 0.07,
                   "upper-kind": 2, "zone-hub": [0, 0]},
        "load-report": {"fields": ["outstanding", "x1", "x0"], "source": "probe"},
        "obligations": {"answer-slack": 8000, "cold": 18000000, "cold-from": 0.18, "fall": 2000000,
                        "fall-multiple": 4.0, "stop-sending-within": 1000000, **obligations},
    }


def member(cache, kind="small", zone="edge", phase="in_service", size=4, up_since_ms=0):
    return {"id": cache.name, "host_port": cache.address, "locality": zone, "flavor": kind, "cell": 0,
            "phase": phase, "size": size, "up_since_ms": up_since_ms}


class Site:
    """A temporary folder, one router's configuration, and all processes and stand-ins of a run."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="alderspur-review-")
        self.shared = os.path.join(self.folder, "tmpdir")
        os.mkdir(self.shared)
        self.listen = free_address()
        self.programs = []
        self.servers = []

    async def add(self, *servers):
        for server in servers:
            await server.start()
            self.servers.append(server)

    def write_config(self, board, router_settings=None, name="n1"):
        config = {"name": name, "listen": self.listen, "seed": os.urandom(8).hex(),
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "board": board.address,
                  "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000, "known": board.known(),
                  "settings": router_settings or settings()}
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.rename(path + ".new", path)
        return path

    async def start_router(self, name, config, operator=None, command=None, extra=None):
        environment = {"RELAY_NAME": "n1", "RELAY_LISTEN": self.listen, "RELAY_CONFIG": config,
                       "TMPDIR": self.shared, **(extra or {})}
        if operator:
            environment["RELAY_OPERATOR"] = operator
        log = os.path.join(self.folder, name + ".log")
        program = Program(self.record, name, command or deploy_command("run"), environment, log)
        self.programs.append(program)
        return await program.start()

    async def close(self):
        for program in self.programs:
            await program.stop()
        for server in self.servers:
            server.crash()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, play, limit=110):
    """Runs the coroutine `play(record, site)`; its result and the exit code are written to the record."""
    record = Record(folder)

    async def guarded():
        site = Site(record)
        try:
            return await asyncio.wait_for(play(record, site), limit)
        finally:
            await site.close()

    try:
        code, text = asyncio.run(guarded())
    except Exception as error:  # the case could not run: the rule was not judged
        code, text = NOT_RUN, f"could not run: {type(error).__name__}: {error}"
    record.add(f"result {code}: {text}")
    print(f"{['held', 'BROKEN', 'not run'][code]}: {text}")
    sys.exit(code)

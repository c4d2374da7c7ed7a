#!/usr/bin/env python3
"""Times the start of edge_router to its first `status` true, by the number of purges in `known`.

  start_known.py PROGRAM CONFIG [PURGES ...]   CONFIG gives the settings, as example/config.json; 200 caches are listed

Prints a row for each number: the median of five starts in ms, and the peak memory in MB.
"""
import json
import os
import re
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time

program, template = sys.argv[1:3]
sizes = [int(n) for n in sys.argv[3:]] or [0, 1000, 10000, 100000]
STATUS = b"\x94\x00\x01\xa6status\x91\x80"  # [0, 1, "status", [{}]]


def configured(purges):
    with open(template, encoding="utf-8") as f:
        config = json.load(f)
    members = [{"id": f"s-{i:08x}", "host_port": f"127.0.0.1:{20000 + i}", "locality": "edge", "flavor": "small",
                "cell": 0, "phase": "in_service", "size": 4, "up_since_ms": 0} for i in range(200)]
    notices = [{"rev": 1, "pool": {"revision": 1, "complete": True, "members": members}}]
    now = int(time.time() * 1000)
    for i in range(purges):
        what = {"asset": f"{i:016x}"} if i % 4 else {"collection": i % 256}
        notices.append({"rev": i + 2, "flush": dict(what, ms=now - i)})
    config["known"] = {"rev": len(notices), "notices": notices}
    config["board"] = "127.0.0.1:1"  # nobody there: it must not matter
    return config


def once(path):
    env = dict(os.environ, RELAY_CONFIG=path, RELAY_LISTEN="127.0.0.1:0")
    began = time.monotonic()
    router = subprocess.Popen([program], env=env, stderr=subprocess.PIPE, text=True)
    port = int(re.search(r":(\d+)$", router.stderr.readline()).group(1))
    with socket.create_connection(("127.0.0.1", port)) as client:
        client.sendall(STATUS)
        assert client.recv(4096), "closed without an answer"
        took = (time.monotonic() - began) * 1000
    with open(f"/proc/{router.pid}/status", encoding="ascii") as f:
        peak = int(re.search(r"VmHWM:\s+(\d+) kB", f.read()).group(1)) / 1024
    router.send_signal(signal.SIGKILL)
    router.stderr.read()
    router.wait()
    return took, peak


for purges in sizes:
    with tempfile.NamedTemporaryFile("w", suffix=".json", encoding="utf-8") as f:
        json.dump(configured(purges), f)
        f.flush()
        runs = [once(f.name) for _ in range(5)]
    print(f"{purges:>8} purges  {statistics.median(r[0] for r in runs):7.1f} ms  {max(r[1] for r in runs):6.1f} MB")

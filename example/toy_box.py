#!/usr/bin/env python3
"""Two toy caches, a toy origin and a toy notice board in one process, on loopback.

  toy_box.py                fixed ports, as example/config.json names them
  toy_box.py --free DIR     free ports; writes DIR/config.json and DIR/servers.toml with them
"""
import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))


async def box(name, reader, writer):
    """Answers every fetch from memory, as a cache that always hits."""
    while line := (await reader.readline()).decode().strip():
        word, tag, *rest = line.split()
        if word == "fetch":
            fields = dict(f.split("=", 1) for f in rest[0].split(",") if "=" in f)
            await reader.readexactly(int(rest[1]) + 2)
            body = f"part {fields['piece']} of {fields['name']} from {name}\n".encode()
            head = f"{tag} served sum={fields['name']},t0={int(time.time() * 1000)} {len(body)}\r\n"
            writer.write(head.encode() + body + b"\r\n")
        elif word in ("alive", "stats"):
            writer.write(f"{tag} green rep=inflight:0 0\r\n\r\n".encode())
    writer.close()


async def board(_, reader, writer):
    """Has nothing new to tell, and says so every second."""
    await reader.readline()
    try:
        while True:
            writer.write(b"1\n")
            await writer.drain()
            await asyncio.sleep(1)
    except ConnectionError:
        writer.close()


async def main():
    free = len(sys.argv) == 3 and sys.argv[1] == "--free"
    with open(os.path.join(HERE, "config.json"), encoding="utf-8") as f:
        config = json.load(f)

    async def listen(what, name, address):
        host, port = address.split(":")
        server = await asyncio.start_server(lambda r, w: what(name, r, w), host, 0 if free else int(port))
        return "%s:%d" % server.sockets[0].getsockname(), server

    kept = []
    config["board"], server = await listen(board, "board", config["board"])
    kept.append(server)
    with open(os.path.join(HERE, "servers.toml"), encoding="utf-8") as f:
        servers = f.read()
    for member in config["known"]["notices"][0]["pool"]["members"]:
        before = member["host_port"]
        member["host_port"], server = await listen(box, member["id"], before)
        servers = servers.replace(before, member["host_port"])
        kept.append(server)
    if free:
        config["listen"] = "127.0.0.1:0"
        with open(os.path.join(sys.argv[2], "servers.toml"), "w", encoding="utf-8") as f:
            f.write(servers)
        path = os.path.join(sys.argv[2], "config.json")
        with open(path + ".part", "w", encoding="utf-8") as f:
            json.dump(config, f)
        os.rename(path + ".part", path)
    print("toy boxes are up", flush=True)
    await asyncio.Event().wait()


asyncio.run(main())

#!/usr/bin/env python3
"""Stand-ins for two caches, an origin and a service discovery server, in one process on loopback.

  stand_in_servers.py                fixed ports, as example/config.json names them
  stand_in_servers.py --free DIR     free ports; writes DIR/config.json and DIR/servers.toml with them
"""
import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
HEARTBEAT_SECONDS = 1


async def serve_cache(name, reader, writer):
    """Answers every fetch from memory, as a cache that always hits."""
    while line := (await reader.readline()).decode().strip():
        command, tag, *rest = line.split()
        if command == "fetch":
            fields = dict(field.split("=", 1) for field in rest[0].split(",") if "=" in field)
            await reader.readexactly(int(rest[1]) + 2)
            body = f"part {fields['piece']} of {fields['name']} from {name}\n".encode()
            head = f"{tag} served sum={fields['name']},t0={int(time.time() * 1000)} {len(body)}\r\n"
            writer.write(head.encode() + body + b"\r\n")
        elif command in ("alive", "stats"):
            writer.write(f"{tag} green rep=inflight:0 0\r\n\r\n".encode())
    writer.close()


async def serve_discovery(_, reader, writer):
    """Has no new events; repeats the number of the last one as a heartbeat."""
    await reader.readline()
    try:
        while True:
            writer.write(b"1\n")
            await writer.drain()
            await asyncio.sleep(HEARTBEAT_SECONDS)
    except ConnectionError:
        writer.close()


async def main():
    uses_free_ports = len(sys.argv) == 3 and sys.argv[1] == "--free"
    with open(os.path.join(HERE, "config.json"), encoding="utf-8") as file:
        config = json.load(file)

    async def listen(serve, name, address):
        host, port = address.split(":")
        port = 0 if uses_free_ports else int(port)
        server = await asyncio.start_server(lambda reader, writer: serve(name, reader, writer), host, port)
        return "%s:%d" % server.sockets[0].getsockname(), server

    servers = []
    config["board"], server = await listen(serve_discovery, "discovery", config["board"])
    servers.append(server)
    with open(os.path.join(HERE, "servers.toml"), encoding="utf-8") as file:
        endpoint_list = file.read()
    for member in config["known"]["notices"][0]["pool"]["members"]:
        configured_address = member["host_port"]
        member["host_port"], server = await listen(serve_cache, member["id"], configured_address)
        endpoint_list = endpoint_list.replace(configured_address, member["host_port"])
        servers.append(server)
    if uses_free_ports:
        config["listen"] = "127.0.0.1:0"
        with open(os.path.join(sys.argv[2], "servers.toml"), "w", encoding="utf-8") as file:
            file.write(endpoint_list)
        path = os.path.join(sys.argv[2], "config.json")
        with open(path + ".part", "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.rename(path + ".part", path)
    print("stand-in servers are listening", flush=True)
    await asyncio.Event().wait()


asyncio.run(main())

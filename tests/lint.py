#!/usr/bin/env python3
"""Runs clang-tidy over source files, in parallel, and skips those that are as an earlier clean run saw them.

    tests/lint.py BUILD FILE...     BUILD: a folder with compile_commands.json

A file is skipped if a stamp says that it was clean with the same preprocessed text (comments and macros included),
the same settings, compiler arguments, version of clang-tidy and versions of the declared packages. Stamps lie in
$XDG_CACHE_HOME/alderspur-lint, ~/.cache without that variable; an empty cache gives the same verdict, later.

Exit: 0 clean, 1 findings, which are printed, 2 a file that the compile database does not list.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
MAX_STAMP_AGE_SECONDS = 30 * 86_400


def output_of(*command):
    return subprocess.run(command, capture_output=True, check=False, cwd=ROOT).stdout


def tools_digest():
    """Changes with the linter, its settings and the packages whose headers are included."""
    digest = hashlib.sha256()
    digest.update((ROOT / ".clang-tidy").read_bytes())
    digest.update(pathlib.Path(__file__).read_bytes())
    digest.update(output_of("clang-tidy", "--version"))
    packages = (ROOT / "packages.txt").read_text().split()
    digest.update(output_of("dpkg-query", "-W", *packages, "clang-tidy"))
    return digest.hexdigest()


def preprocess_command(entry):
    """The entry's compiler command, changed to print the preprocessed text."""
    arguments = shlex.split(entry["command"])
    kept = []
    skip_next = False
    for argument in arguments:
        if skip_next:
            skip_next = False
        elif argument == "-o":
            skip_next = True
        elif argument != "-c":
            kept.append(argument)
    return kept + ["-E", "-C", "-dD"]


def stamp_name(entry, tools):
    """The stamp's name, or nothing if the file does not preprocess."""
    command = preprocess_command(entry)
    text = subprocess.run(command, capture_output=True, check=False, cwd=entry["directory"])
    if text.returncode != 0:
        return None
    root = str(ROOT).encode()
    digest = hashlib.sha256(tools.encode())
    digest.update(shlex.join(command).encode().replace(root, b""))
    digest.update(text.stdout.replace(root, b""))
    return digest.hexdigest()


def lint(path, entry, build, cache, tools):
    """The findings in a file; empty: it is clean."""
    name = stamp_name(entry, tools)
    stamp = cache / name if name else None
    if stamp and stamp.exists():
        stamp.touch()
        return ""
    run = subprocess.run(["clang-tidy", "-p", build, "--quiet", path], capture_output=True, check=False, cwd=ROOT)
    if run.returncode != 0:
        return run.stdout.decode(errors="replace") or run.stderr.decode(errors="replace")
    if stamp:
        stamp.touch()
    return ""


def main():
    build, files = sys.argv[1], sys.argv[2:]
    database = json.loads((ROOT / build / "compile_commands.json").read_text())
    entries = {entry["file"]: entry for entry in database}
    unlisted = [path for path in files if str(ROOT / path) not in entries]
    if unlisted:
        print("lint: not in the compile database:", *unlisted)
        return 2
    cache = pathlib.Path(os.environ.get("XDG_CACHE_HOME") or pathlib.Path.home() / ".cache") / "alderspur-lint"
    cache.mkdir(parents=True, exist_ok=True)
    for stamp in cache.iterdir():
        if time.time() - stamp.stat().st_mtime > MAX_STAMP_AGE_SECONDS:
            stamp.unlink(missing_ok=True)
    tools = tools_digest()
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        work = [pool.submit(lint, path, entries[str(ROOT / path)], build, cache, tools) for path in files]
        findings = [future.result() for future in work]
    lines = sorted({line for text in findings for line in text.splitlines() if "error:" in line or "warning:" in line})
    if any(findings):
        print("\n".join(lines) or "\n".join(filter(None, findings)))
        print("lint: findings of clang-tidy")
        return 1
    return 0


sys.exit(main())

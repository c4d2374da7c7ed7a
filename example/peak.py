#!/usr/bin/env python3
"""Starts a router, asks it for its status, ends it, and prints its peak memory.

  peak.py PROGRAM CONFIG MOST_MB   exit code 1 if the peak is over MOST_MB
"""
import os
import re
import signal
import subprocess
import sys
import time

program, config, most = sys.argv[1:]
env = dict(os.environ, RELAY_CONFIG=config, RELAY_LISTEN="127.0.0.1:0")
router = subprocess.Popen([program], env=env, stderr=subprocess.PIPE, text=True)
line = router.stderr.readline()
assert "platform clients on" in line, line
time.sleep(0.3)
with open(f"/proc/{router.pid}/status", encoding="ascii") as f:
    peak = int(re.search(r"VmHWM:\s+(\d+) kB", f.read()).group(1)) / 1024
router.send_signal(signal.SIGTERM)
router.stderr.read()
code = router.wait()
print(f"peak memory at rest: {peak:.1f} MB, exit {code}")
sys.exit(0 if code == 0 and peak <= float(most) else 1)

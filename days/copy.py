#!/usr/bin/env python3
"""copy.py SITE OUT [size=N] [restart=SECONDS] [long] [ones]: a copy of a site file, changed.

size: machines, arrivals and the teams' CPUs times N; restart: after how long a process is
back; long: tasks of 300 s and more, half of the jobs cancelled, a fifth of the arrivals; ones: jobs of one task, four a second, a quarter cancelled.
"""
import re
import sys

src, out = sys.argv[1:3]
opt = dict(a.split("=") if "=" in a else (a, "") for a in sys.argv[3:])
text = open(src).read()
ARRIVALS = r"(arrivals = \{ rate = )([\d.]+)"


def scale(pattern, by, digits):
    global text
    text = re.sub(pattern, lambda m: m[1] + f"{float(m[2]) * by:.{digits}f}" + (m[3] if m.lastindex > 2 else ""), text)


if "restart" in opt:
    text = re.sub(r"restart_delay_s = [\d.]+", "restart_delay_s = " + opt["restart"], text)
if "size" in opt:
    by = float(opt["size"])
    nodes = re.search(r"\[nodes\]\ncount = \d+", text)[0]
    scale(r"(?m)^((?:count|spot|initial) = )(\d+)$", by, 0)
    scale(ARRIVALS, by, 5)
    scale(r"(?m)^((?:cpus|cpus_max) = )(\d{3,}\.\d+)$", by, 1)
    text = re.sub(r"\[nodes\]\ncount = \d+", nodes, text)
if "long" in opt:
    text = re.sub(r"(?m)^run_s = .*$", "run_s = { median = 300.0, p95 = 380.0, max = 400.0 }", text)
    text = re.sub(r"(?m)^cancelled = [\d.]+$", "cancelled = 0.5", text)
    scale(ARRIVALS, 0.2, 5)
if "ones" in opt:
    text = re.sub(r"(?m)^tasks = .*$", "tasks = { median = 1.0, p95 = 1.0, max = 1.0 }", text)
    text = re.sub(r"(?m)^cancelled = [\d.]+$", "cancelled = 0.25", text)
    scale(ARRIVALS, 4 / sum(float(m[1]) for m in re.finditer(ARRIVALS.replace("(arrivals", "(?:arrivals"), text)), 5)
open(out, "w").write(text)

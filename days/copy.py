#!/usr/bin/env python3
"""copy.py SITE OUT [size=N] [restart=SECONDS] [long] [ones] [planned=PART]: a copy of a site file, changed.

size: machines, arrivals and the teams' CPUs times N; restart: after how long a process is
back; long: tasks of 300 s and more, half of the jobs cancelled, a fifth of the arrivals; ones: jobs of one task, four a second, a quarter cancelled; planned: that
part of the size that is planned, for a large site of furrowline-hosted: 2,700 machines in 30 zones
of 8 regions, 110 teams, 4.4 jobs a second of 250 tasks on average, 6 controllers of a core each.
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
if "planned" in opt:
    part = float(opt["planned"])
    zones = [f"r{i % 8 + 1}-z{i // 8 + 1}" for i in range(30)]
    # Controllers, a region each.
    text = re.sub(r"\[nodes\]\ncount = \d+\nzones = .*\ncpu_share = .*", "[nodes]\ncount = 6\nzones = " +
                  str(zones[:6]).replace("'", '"') + "\ncpu_share = 1.0", text)
    # Machines: as many of each type as the site has, brought to the size; six tenths of them
    # ordinary, nine tenths of those up at the start.
    entry = r'\[\[capacity\]\]\ntype = "(.*)"\nzone = ".*"\ncount = (\d+)\nspot = (\d+)\n\n'
    kinds = {}
    for kind, count, spot in re.findall(entry, text):
        kinds[kind] = kinds.get(kind, 0) + int(count) + int(spot)
    by = 2700 * part / sum(kinds.values())
    text = re.sub(entry, "", text)
    text = re.sub(r'\[\[machines\]\]\ntype = .*\nzone = .*\nspot = .*\ncount = .*\n\n', "", text)
    blocks = ""
    for kind, n in kinds.items():
        for i, zone in enumerate(zones):
            here = int(n * by * (i + 1) / 30) - int(n * by * i / 30)
            ordinary = round(here * 0.6)
            blocks += f'[[capacity]]\ntype = "{kind}"\nzone = "{zone}"\ncount = {ordinary}\nspot = {here - ordinary}\n\n'
            if ordinary > 0:
                blocks += f'[[machines]]\ntype = "{kind}"\nzone = "{zone}"\nspot = false\ncount = {max(1, round(ordinary * 0.9))}\n\n'
    # Teams alike, with room for the largest arrays; the work of all fits.
    teams = round(110 * part)
    blocks += "".join(f'[[teams]]\nname = "team-{i:03d}"\nweight = 1.0\ncpus = 400.0\ncpus_max = 16000.0\n\n' for i in range(teams))
    text = re.sub(r"\[\[teams\]\]\nname = .*\nweight = .*\ncpus = .*\ncpus_max = .*\n\n", "", text)
    text = re.sub(r"(?m)^teams = \[.*\]\n", "", text)
    text = text.replace("[[jobs]]", blocks + "[[jobs]]", 1)
    scale(r"(?m)^(cpus = )((?:4|8|32)\.0)(\nmemory_gb)", 4.24, 1)
    scale(r"(?m)^(memory_gb = )(\d+\.\d)(\nprice)", 4.24, 1)
    # Jobs: the classes as they are, larger and more often.
    rate = sum(float(m[1]) for m in re.finditer(ARRIVALS.replace("(arrivals", "(?:arrivals"), text))
    scale(ARRIVALS, 4.4 * part / rate, 5)
    text = re.sub(r"(?m)^tasks = \{ median = ([\d.]+), p95 = ([\d.]+), max = ([\d.]+) \}$",
                  lambda m: "tasks = { median = %.0f.0, p95 = %.0f.0, max = %.0f.0 }" % tuple(float(m[i]) * 3.7 for i in (1, 2, 3)), text)
    text = re.sub(r"(?m)^initial = \d+$", "initial = 2", text)
    text = re.sub(r"(?m)^duration_s = .*$", "duration_s = 230.0", text)
open(out, "w").write(text)

#!/usr/bin/env python3
"""count.py LOG FROM TO...: how many jobs a controller confirmed as cancelled between two
times of a day, from what `fleetbench run SITE DAY --log debug` prints."""
import re
import sys

times = [float(x) for x in sys.argv[2:]]
found = [0] * (len(times) // 2)
for line in open(sys.argv[1], errors="replace"):
    if "job cancelled" not in line:
        continue
    at = re.search(r"\d+\.\d+", line)
    for i in range(len(found)):
        if at and times[2 * i] <= float(at[0]) <= times[2 * i + 1]:
            found[i] += 1
print(found)

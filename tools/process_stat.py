"""Processor time and memory of a process, as /proc tells them."""
import os

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_fields(path):
    """Fields of a stat file after the name, and the name."""
    with open(path) as file:
        text = file.read()
    name = text[text.index("(") + 1:text.rindex(")")]
    return name, text[text.rindex(")") + 2:].split()


def cpu_seconds(pid):
    _, fields = read_fields(f"/proc/{pid}/stat")
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mb(pid):
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES / 1e6


def thread_seconds(pid):
    """Processor seconds of each thread by its name."""
    seconds = {}
    for thread in os.listdir(f"/proc/{pid}/task"):
        name, fields = read_fields(f"/proc/{pid}/task/{thread}/stat")
        used = (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
        seconds[name] = seconds.get(name, 0) + used
    return seconds

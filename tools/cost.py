"""Cost of a router: slopes by the fleet's size, and relayed events.

A router's processor time, memory and control bytes are read while one size
varies and the others stay at `BASE`; a least-squares line gives the slope.
"""
import hashlib
import time

import experiments
import fleet
import process_stat

BASE = {"routers": 4, "servers": 21, "teams": 10, "chats": 200, "rate": 40}
POINTS = {"routers": (2, 4, 6, 8), "servers": (21, 42, 84, 168),
          "teams": (10, 40, 80, 160), "chats": (25, 50, 100, 200),
          "rate": (20, 40, 80, 160)}
BY_DOMAIN = {2: (1, 1, 0), 4: (2, 1, 1), 6: (2, 2, 2), 8: (3, 3, 2)}
RATE_PER_ROUTER = 10
SECONDS = 6
SETTLE_S = 2
COSTS = ("core %", "RSS MB", "control B/s")


def add_servers(document, wanted):
    """Copies model servers until the document has `wanted` servers."""
    model = [s for s in document["services"] if s["kind"] == "model"]
    have = sum(len(s["servers"]) for s in document["services"])
    for number in range(have, wanted):
        servers = model[number % len(model)]["servers"]
        servers.append({**servers[number % len(servers)],
                        "id": f"copy-{number}"})


def add_teams(document, wanted):
    while len(document["teams"]) < wanted:
        name = f"team-{len(document['teams'])}"
        digest = hashlib.sha256(f"{name}-key".encode()).hexdigest()
        document["teams"].append({**document["teams"][-1], "id": name,
                                  "api_key_digests": [digest]})


def read_costs(f):
    pids = [r["process"].pid for r in f.routers]
    return {"cpu": sum(process_stat.cpu_seconds(p) for p in pids),
            "rss": sum(process_stat.resident_mb(p) for p in pids),
            "bytes": sum(experiments.control_bytes(f).values()),
            "at": time.monotonic()}


def measure_load(f, size):
    """Mean costs of a router while one load runs."""
    before = read_costs(f)
    f.load("--seed", experiments.SEED, "--rate", size["rate"], "--requests",
           size["rate"] * SECONDS, "--chats", size["chats"])
    after = read_costs(f)
    seconds = after["at"] - before["at"]
    count = size["routers"]
    return {"core %": 100 * (after["cpu"] - before["cpu"]) / seconds / count,
            "RSS MB": after["rss"] / count,
            "control B/s":
                (after["bytes"] - before["bytes"]) / seconds / count}


def start(size):
    def edit(document):
        experiments.lift_team_limits(document)
        add_servers(document, size["servers"])

    return fleet.Fleet("authority", BY_DOMAIN[size["routers"]], edit=edit)


def measure_fleets(size_name):
    """A fleet for each number of routers or servers.

    Each router has the same rate, whatever their number.
    """
    for value in POINTS[size_name]:
        size = {**BASE, size_name: value}
        size["rate"] = RATE_PER_ROUTER * size["routers"]
        with start(size) as f:
            time.sleep(SETTLE_S)
            yield value, measure_load(f, size)


def measure_one_fleet(size_name):
    """One fleet, whose teams and load grow from point to point."""
    with start(BASE) as f:
        for value in POINTS[size_name]:
            size = {**BASE, size_name: value}
            if size["teams"] > len(f.document["teams"]):
                add_teams(f.document, size["teams"])
                f.submit()
            time.sleep(SETTLE_S)
            yield value, measure_load(f, size)


def fit_line(xs, ys):
    """Least squares: slope, value at 0 and share of variance explained."""
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    slope = (sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys))
             / sum((x - mean_x) ** 2 for x in xs))
    at_zero = mean_y - slope * mean_x
    rest = sum((y - at_zero - slope * x) ** 2 for x, y in zip(xs, ys))
    whole = sum((y - mean_y) ** 2 for y in ys)
    return slope, at_zero, 1 - rest / whole if whole else 1.0


def run_cost(size_name):
    """A row for each point of one size, and the fitted lines."""
    rows = {}
    measure = (measure_fleets if size_name in ("routers", "servers")
               else measure_one_fleet)
    for value, row in measure(size_name):
        rows[str(value)] = row
        print("cost", size_name, value, row, flush=True)
    points = POINTS[size_name]
    fits = [fit_line(points, [rows[str(p)][c] for p in points])
            for c in COSTS]
    return rows, {row: dict(zip(COSTS, part)) for row, part in
                  zip(("slope", "at 0", "r²"), zip(*fits))}


# Events of a stream and the engine's time between two of them. `bulk`: as
# fast as the engine writes, so that many arrive together.
RELAY_VARIANTS = {"bulk": {"tokens": 4000, "rate": 25, "token_us": 0},
                  "2 ms apart": {"tokens": 500, "rate": 60,
                                 "token_us": 2000}}
RELAY_SECONDS = 8
RELAY_TASKS = ("front", "routing", "owner", "backend")


def run_relay(variant):
    """Events through one whole router with an embedded platform."""
    shape = RELAY_VARIANTS[variant]
    model = {"prefill_us_per_token": 0, "token_us_per_running": 0,
             "cold_capacity": 64, "token_us": shape["token_us"]}
    with fleet.Fleet("authority", (1, 0, 0), model, embedded=True,
                     edit=experiments.lift_team_limits) as f:
        pid = f.routers[0]["process"].pid
        before = process_stat.cpu_seconds(pid)
        before_by_task = process_stat.thread_seconds(pid)
        r = f.load("--seed", experiments.SEED, "--rate", shape["rate"],
                   "--requests", shape["rate"] * RELAY_SECONDS,
                   "--streams", 100, "--max-tokens", shape["tokens"],
                   *experiments.CHATS_ONLY)
        used = process_stat.cpu_seconds(pid) - before
        by_task = process_stat.thread_seconds(pid)
    answered = r["classes"]["chat"]["outcomes"].get("answered", 0)
    events = answered * shape["tokens"]
    row = {"answered": r["classes"]["chat"]["answered_share"],
           "events/s": events / r["seconds"],
           "core s": used, "events per core s": events / used}
    for name in RELAY_TASKS:
        spent = by_task[name] - before_by_task[name]
        row[f"{name} %"] = 100 * spent / used
    return row

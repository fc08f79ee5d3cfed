"""The brief's measures: skew, reuse, domain, control and first byte.

Each function runs one fleet with fixed seeds and returns a row of figures.
"""
import collections
import json
import subprocess
import threading
import time

import fleet

DEPLOYMENTS = {"authority": (3, 3, 2), "amagiri": (2, 2, 2, 2)}
POLICIES = ("bounded_rendezvous", "round_robin", "least_loaded",
            "rendezvous", "power_of_two_choices")
# Answers of about 0.3 s, so that several are in flight at each engine.
SLOW_ENGINES = {"token_us": 10_000, "token_us_per_running": 200}
QUICK_ENGINES = {"prefill_us_per_token": 0, "token_us": 1000,
                 "cold_capacity": 16}
CLASS_WEIGHTS = {"chat": 2, "read": 1}
CHURN_INTERVAL_S = 6
NO_BOUND_PERCENT = 1000
SEED = 11
WARM_UP_SEED = 3
CHATS_ONLY = ("--actions", 0, "--reads", 0)


def lift_team_limits(document):
    for team in document["teams"]:
        team.update(rate_limit=0, burst=0)


def start_policy(deployment, policy, model=None):
    """A fleet with that policy; the baselines have no load bound."""
    def edit(document):
        lift_team_limits(document)
        if policy != POLICIES[0]:
            document["limits"]["load_bound_percent"] = NO_BOUND_PERCENT

    return start(deployment, model, edit=edit,
                 settings=f"[routing]\npolicy = {policy}\n")


def start(deployment, model=None, **options):
    """A fleet of the deployment's size of today."""
    options.setdefault("edit", lift_team_limits)
    return fleet.Fleet(deployment, DEPLOYMENTS[deployment], model, **options)


def warm_up(f):
    """Short requests, so that no engine is cold when the measure begins."""
    f.load("--seed", WARM_UP_SEED, "--requests", 400, "--rate", 150,
           "--max-tokens", 2, *CHATS_ONLY)


def run_skew(deployment, policy):
    """Demand doubles within 10 s from 2 s on."""
    with start_policy(deployment, policy, SLOW_ENGINES) as f:
        warm_up(f)
        r = f.load("--seed", SEED, "--requests", 2200, "--rate", 120,
                   *CHATS_ONLY, "--max-tokens", 30, "--rain-at", 2000)
    return {"worst over mean": r["skew"]["worst_ratio"],
            "p99 over mean": r["skew"]["p99_ratio"],
            "mean of busiest over mean": r["skew"]["mean_ratio"],
            "overloaded": r["oracle"]["overloaded"],
            "answered": r["weighted_answered_share"]}


def churn(f, stop):
    """Takes one engine after the other down until `stop` is set."""
    names = [s["id"] for service in f.document["services"]
             if service["kind"] == "model" for s in service["servers"]]
    number = 0
    while not stop.wait(CHURN_INTERVAL_S):
        name = names[(number * 7) % len(names)]
        number += 1
        fleet.page(f.controls[0], "/control", json.dumps(
            {"server": name, "fall_over": True}).encode())


def run_reuse(deployment, policy):
    """Returning chats while engines restart one after the other."""
    with start_policy(deployment, policy) as f:
        warm_up(f)
        stop = threading.Event()
        thread = threading.Thread(target=churn, args=(f, stop))
        thread.start()
        try:
            r = f.load("--seed", SEED, "--requests", 2100, "--rate", 150,
                       "--chats", 400, *CHATS_ONLY)
        finally:
            stop.set()
            thread.join()
    return {"reused": r["oracle"]["reuse_share"],
            "best possible": r["oracle"]["reusable_share"],
            "tokens reused": r["oracle"]["token_reuse_share"],
            "answered": r["weighted_answered_share"]}


def idempotent_share(classes):
    """Answered share of chats and reads, weighted by kind."""
    kinds = [(w, classes[k]) for k, w in CLASS_WEIGHTS.items()
             if k in classes]
    sent = sum(w * c["sent"] for w, c in kinds)
    return sum(w * c["sent"] * c["answered_share"] for w, c in kinds) / sent


def run_domain(deployment, policy):
    """A failure domain is taken out at 3 s and back in service at 8 s."""
    with start_policy(deployment, policy, SLOW_ENGINES) as f:
        warm_up(f)
        domain = f.document["domains"][1]
        changes = [threading.Timer(at, change_domain, (f, domain, state))
                   for at, state in ((3, "taken_out"), (8, "in_service"))]
        for change in changes:
            change.start()
        try:
            r = f.load("--seed", SEED, "--requests", 1440, "--rate", 120,
                       "--max-tokens", 30)
        finally:
            for change in changes:
                change.join()
    classes = r["classes"]
    return {"answered, weighted": r["weighted_answered_share"],
            "idempotent": idempotent_share(classes),
            "non-idempotent": classes["action"]["answered_share"],
            "non-idempotent run twice": r["oracle"]["doubled"],
            "engines overloaded": r["oracle"]["overloaded"],
            "first byte p99 ms": r["first_byte"]["p99_ms"]}


def change_domain(f, domain, state):
    domain["state"] = state
    f.submit()


def control_bytes(f):
    return {router["id"]: fleet.metric(router,
                                       "bramley_control_bytes_sent_total")
            for router in f.routers}


def run_control(deployment, rate):
    """Control bytes that each router sends in a second."""
    seconds = 8
    with start(deployment) as f:
        time.sleep(3)
        before, begun = control_bytes(f), time.monotonic()
        if rate:
            f.load("--seed", SEED, "--requests", rate * seconds,
                   "--rate", rate)
        else:
            time.sleep(seconds)
        after, end = control_bytes(f), time.monotonic()
    rates = [(after[i] - before[i]) / (end - begun) for i in after]
    return {"mean B/s": sum(rates) / len(rates), "worst B/s": max(rates)}


def measure_first_byte(f):
    r = f.load("--seed", SEED, "--requests", 800, "--rate", 100,
               "--streams", 100, *CHATS_ONLY)
    return {f"{p} ms": r["first_byte"][f"{p}_ms"]
            for p in ("p50", "p95", "p99")}


def queue_waits(f):
    """Milliseconds from `offer_queued` to `offer_admitted`, by request."""
    admins = ",".join(f"127.0.0.1:{r['admin']}" for r in f.routers)
    text = subprocess.check_output(
        [fleet.CONTROL, "timeline", "--admin", admins, "--json", "--kind",
         "request_received,offer_queued,offer_admitted"])
    events = json.loads(text)
    spans = collections.defaultdict(dict)
    for event in events:
        spans[event["request"]].setdefault(event["kind"], event["ms"])
    return [s.get("offer_admitted", s["offer_queued"]) - s["offer_queued"]
            if "offer_queued" in s else 0
            for s in spans.values() if "request_received" in s]


def run_first_byte(deployment, variant):
    """Direct and through the fleet, in the same run at a low rate.

    With the variant `unbounded` the load bound holds no request back, which
    leaves the time that the path itself takes.
    """
    def edit(document):
        lift_team_limits(document)
        if variant == "unbounded":
            document["limits"]["load_bound_percent"] = NO_BOUND_PERCENT

    with start(deployment, QUICK_ENGINES, edit=edit) as f:
        warm_up(f)
        through = measure_first_byte(f)
        waits = sorted(queue_waits(f))
        state = json.loads(fleet.page(f.controls[0], "/control"))
        f.routers = [{"callers": s["port"]} for s in state["servers"]]
        direct = measure_first_byte(f)
    row = {}
    for name, value in through.items():
        row[f"direct {name}"] = direct[name]
        row[f"added {name}"] = value - direct[name]
    row["ratio at p99"] = through["p99 ms"] / direct["p99 ms"]
    row["queued share"] = sum(w > 0 for w in waits) / len(waits)
    row["queue wait p99 ms"] = waits[int(len(waits) * 0.99)]
    return row


EXPERIMENTS = {
    "domain": ("Service while a failure domain is taken out and returns",
               run_domain, POLICIES),
    "first_byte": ("Added time to the first byte, direct in the same run",
                   run_first_byte, ("bounded", "unbounded")),
    "skew": ("Load skew while demand doubles in 10 s", run_skew, POLICIES),
    "reuse": ("Prefix reuse while an engine restarts every "
              f"{CHURN_INTERVAL_S} s", run_reuse, POLICIES),
    "control": ("Control traffic by requests per second", run_control,
                (0, 50, 150)),
}

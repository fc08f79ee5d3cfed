"""Runs the brief's measures for both deployments and writes their tables.

Each experiment runs the product's policy beside its baselines with the same
seed. Data goes to docs/plots/data, tables to docs/MEASUREMENTS.md.
"""
import argparse
import json
import os

import cost
import experiments
import fleet
import plot

DATA = os.path.join(fleet.ROOT, "docs/plots/data")
PAGE = os.path.join(fleet.ROOT, "docs/MEASUREMENTS.md")
BEGIN = "<!-- begin measure -->\n"
END = "<!-- end measure -->\n"


def save(name, title, rows, **more):
    with open(os.path.join(DATA, name + ".json"), "w") as out:
        json.dump({"title": title, "rows": rows, **more}, out, indent=2)
        out.write("\n")


def load_rows(name):
    """Rows of the last run of that data file."""
    file = os.path.join(DATA, name + ".json")
    if not os.path.exists(file):
        return {}
    with open(file) as text:
        return json.load(text)["rows"]


def run_experiment(name, deployments, chosen):
    """Runs all variants, or renews the rows of the chosen ones."""
    title, run, variants = experiments.EXPERIMENTS[name]
    for deployment in deployments:
        file = f"{name}_{deployment}"
        rows = load_rows(file) if chosen else {}
        for variant in variants:
            if chosen and str(variant) not in chosen:
                continue
            rows[str(variant)] = run(deployment, variant)
            print(name, deployment, variant, rows[str(variant)], flush=True)
            save(file, f"{title}: {deployment}", rows)


def run_costs():
    for size_name in cost.POINTS:
        title = f"Cost of a router by number of {size_name}"
        if size_name == "rate":
            title = "Cost of a router by requests per second of the fleet"
        rows, fits = cost.run_cost(size_name)
        save(f"cost_{size_name}", title, rows, fits=fits)


def run_relay():
    rows = {}
    for variant in cost.RELAY_VARIANTS:
        rows[variant] = cost.run_relay(variant)
        print("relay", variant, rows[variant], flush=True)
    save("relay", "Events relayed by one router", rows)


def to_table(title, rows):
    names = list(next(iter(rows.values())))
    lines = [f"### {title}", "", "| | " + " | ".join(names) + " |",
             "| --- |" + " ---: |" * len(names)]
    for row, figures in rows.items():
        cells = " | ".join(f"{figures[n]:.4g}" for n in names)
        lines.append(f"| {row} | {cells} |")
    return "\n".join(lines) + "\n"


def write_page():
    """Puts the tables of all data files into the page."""
    text = ""
    for name in sorted(os.listdir(DATA)):
        with open(os.path.join(DATA, name)) as file:
            data = json.load(file)
        rows = {**data["rows"], **data.get("fits", {})}
        text += to_table(data["title"], rows) + "\n"
        image = name.replace(".json", ".svg")
        text += f"![{data['title']}](plots/{image})\n\n"
    with open(PAGE) as file:
        head, rest = file.read().split(BEGIN, 1)
    tail = rest.split(END, 1)[1]
    with open(PAGE, "w") as file:
        file.write(head + BEGIN + "\n" + text + END + tail)


def main():
    names = [*experiments.EXPERIMENTS, "cost", "relay"]
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("experiments", nargs="*", metavar="EXPERIMENT",
                         help=", ".join(names) + ", page; default: all")
    options.add_argument("--deployment",
                         choices=experiments.DEPLOYMENTS)
    options.add_argument("--variants", nargs="+", default=[],
                         help="renew only these rows")
    read = options.parse_args()
    os.makedirs(DATA, exist_ok=True)
    deployments = ([read.deployment] if read.deployment
                   else list(experiments.DEPLOYMENTS))
    for name in read.experiments or names:
        if name == "cost":
            run_costs()
        elif name == "relay":
            run_relay()
        elif name != "page":
            run_experiment(name, deployments, read.variants)
    plot.draw_all()
    write_page()


if __name__ == "__main__":
    main()

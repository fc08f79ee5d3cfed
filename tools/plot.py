"""Draws an SVG for each data file in docs/plots/data."""
import json
import os

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PLOTS = os.path.join(ROOT, "docs/plots")
WIDTH, BAR, GAP = 640, 16, 8
BAR_LEFT, BAR_RIGHT, NUMBER_LEFT = 200, 560, 568
COLOURS = ("#3b6ea5", "#7da7d9", "#a8c686", "#d9a441")


def draw_bar(y, name, value, most, colour):
    """One figure, as a share of the largest of its name."""
    length = (BAR_RIGHT - BAR_LEFT) * max(0, value) / most
    return (f'<text x="{BAR_LEFT - 6}" y="{y + 12}" text-anchor="end">'
            f'{name}</text>\n'
            f'<rect x="{BAR_LEFT}" y="{y}" width="{max(1, length):.0f}" '
            f'height="{BAR - 2}" fill="{colour}"/>\n'
            f'<text x="{NUMBER_LEFT}" y="{y + 12}">{value:.4g}</text>')


def draw(data):
    """Horizontal bars: a group for each row, a bar for each figure."""
    rows = data["rows"]
    names = list(next(iter(rows.values())))
    most = {n: max(r[n] for r in rows.values()) for n in names}
    parts, y = [], 36
    for row, figures in rows.items():
        parts.append(f'<text x="8" y="{y + 12}" font-weight="bold">'
                     f"{row}</text>")
        y += BAR
        for number, name in enumerate(names):
            parts.append(draw_bar(y, name, figures[name],
                                  most[name] if most[name] > 0 else 1,
                                  COLOURS[number % len(COLOURS)]))
            y += BAR
        y += GAP
    return (f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
            f'height="{y + 10}" font-family="sans-serif" font-size="12">\n'
            f'<rect width="100%" height="100%" fill="white"/>\n'
            f'<text x="8" y="22" font-size="15">{data["title"]}</text>\n'
            + "\n".join(parts) + "\n</svg>\n")


def draw_all():
    folder = os.path.join(PLOTS, "data")
    for name in sorted(os.listdir(folder)):
        with open(os.path.join(folder, name)) as file:
            data = json.load(file)
        with open(os.path.join(PLOTS, name.replace(".json", ".svg")),
                  "w") as out:
            out.write(draw(data))


if __name__ == "__main__":
    draw_all()

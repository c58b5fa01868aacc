"""A line chart as plain SVG."""

WIDTH, HEIGHT, MARGIN = 900, 360, 50
COLOURS = ["#1f77b4", "#999999", "#d62728"]


def write_svg(path, title, series, shaded=(), unit="slot-seconds per second"):
    """`series` is {name: [value for each second]}; `shaded` [(from, to)]."""
    seconds = max(len(values) for values in series.values())
    top = max(max(values) for values in series.values()) * 1.1 or 1

    def x(second):
        return MARGIN + second * (WIDTH - 2 * MARGIN) / seconds

    def y(value):
        return HEIGHT - MARGIN - value * (HEIGHT - 2 * MARGIN) / top

    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
             f'height="{HEIGHT}" font-family="sans-serif" font-size="12">',
             '<rect width="100%" height="100%" fill="white"/>',
             f'<text x="{MARGIN}" y="20">{title}</text>']
    for begin, end in shaded:
        parts.append(f'<rect x="{x(begin):.1f}" y="{MARGIN}" fill="#eeeeee" '
                     f'width="{x(end) - x(begin):.1f}" '
                     f'height="{HEIGHT - 2 * MARGIN}"/>')
    for value in range(0, int(top) + 1, 20):
        parts.append(f'<text x="{MARGIN - 30}" y="{y(value) + 4:.1f}">{value}'
                     f'</text><line x1="{MARGIN}" x2="{WIDTH - MARGIN}" '
                     f'y1="{y(value):.1f}" y2="{y(value):.1f}" stroke="#ddd"/>')
    for second in range(0, seconds + 1, 10):
        parts.append(f'<text x="{x(second) - 6:.1f}" '
                     f'y="{HEIGHT - MARGIN + 16}">{second}</text>')
    for i, (name, values) in enumerate(series.items()):
        points = " ".join(f"{x(s + 0.5):.1f},{y(v):.1f}"
                          for s, v in enumerate(values))
        colour = COLOURS[i % len(COLOURS)]
        parts.append(f'<polyline points="{points}" fill="none" '
                     f'stroke="{colour}" stroke-width="1.5"/>')
        parts.append(f'<text x="{MARGIN + 200 * i}" y="{HEIGHT - 12}" '
                     f'fill="{colour}">{name}</text>')
    parts.append(f'<text x="{WIDTH - MARGIN - 160}" y="20">{unit}</text></svg>')
    with open(path, "w") as file:
        file.write("\n".join(parts) + "\n")

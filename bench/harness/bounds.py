"""Checks the figures of an experiment against bench/bounds.json."""

import json
from pathlib import Path

TABLE = Path(__file__).resolve().parent.parent / 'bounds.json'


def load_bounds(experiment):
    return json.loads(TABLE.read_text()).get(experiment, [])


def holds(bound, value):
    if value is None:
        return False
    if 'most' in bound:
        return value <= bound['most']
    return value >= bound['least']


def check(experiment, figures):
    """Compares each bound with its figure. A missing figure fails its bound."""
    rows = []
    for bound in load_bounds(experiment):
        value = figures.get(bound['figure'])
        rows.append({**bound, 'value': value, 'holds': holds(bound, value)})
    return rows


def print_table(rows, figures):
    """Prints all figures, then the bounds."""
    for name, value in figures.items():
        shown = f'{value:.4g}' if isinstance(value, float) else value
        print(f'  {name:<44} {shown}')
    print()
    for row in rows:
        limit = f'<= {row["most"]}' if 'most' in row else f'>= {row["least"]}'
        value = f'{row["value"]:.4g}' if isinstance(row['value'], float) else row['value']
        print(f'  {"ok    " if row["holds"] else "FAILED"} {row["figure"]:<36} {value} {limit}  ({row["source"]})')

"""Runs benchmarks: ``python -m bench [--only NAME] [--json FILE]``."""

from __future__ import annotations

import argparse
import dataclasses
import importlib
import json
import pathlib
import sys

from bench import registry

# Modules that register benchmarks when imported.
MODULES = ('bench.calls', 'bench.choice', 'bench.headroom')


def main() -> int:
    """Runs the benchmarks; returns 1 if a bound isn't met, otherwise 0."""
    parser = argparse.ArgumentParser(prog='bench')
    parser.add_argument('--only', action='append', help='name of a benchmark')
    parser.add_argument('--json', type=pathlib.Path, help='file for results')
    arguments = parser.parse_args()
    for module in MODULES:
        importlib.import_module(module)
    names = arguments.only or sorted(registry.benchmarks)
    unknown = set(names) - set(registry.benchmarks)
    if unknown:
        parser.error(
            f'unknown {unknown}; known: {sorted(registry.benchmarks)}'
        )
    results = {}
    for name in names:
        for label, result in registry.benchmarks[name]():
            print(_format(label, result), flush=True)
            results[label] = {
                **dataclasses.asdict(result),
                'is_met': result.is_met,
            }
    if arguments.json:
        arguments.json.write_text(json.dumps(results, indent=2))
    return int(any(r['is_met'] is False for r in results.values()))


def _format(label: str, result: registry.Result) -> str:
    verdict = {True: 'met', False: 'NOT MET', None: 'no bound'}
    fields = [f'{label}: {result.value:.4g} {result.unit}']
    if result.baseline is not None:
        fields.append(f'baseline {result.baseline:.4g} ({result.note})')
    if result.bound is not None:
        sign = '<=' if result.is_upper else '>='
        fields.append(f'bound {sign} {result.bound:.4g}')
    fields.append(verdict[result.is_met])
    return ', '.join(fields)


if __name__ == '__main__':
    sys.exit(main())

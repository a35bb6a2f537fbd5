"""Checks the calls to the platform that one daemon at a time may make."""

from __future__ import annotations

import typing

# Shortest time after which a former holder of a duty may make calls again.
LEASE_S = 3.0


def find_violations(calls: typing.Sequence[dict]) -> list[str]:
    """Returns which rules the calls of one duty and subject break.

    Args:
        calls: Calls in the order of their arrival.
    """
    found = []
    tokens = [call['token'] for call in calls]
    if tokens != sorted(tokens):
        found.append(f'a lower token came after a higher one: {tokens}')
    last_seen_s: dict[str, float] = {}
    previous = None
    for call in calls:
        holder, at_s = call['holder'], call['at_s']
        if previous not in (None, holder):
            since_s = at_s - last_seen_s.get(holder, -LEASE_S)
            if since_s < LEASE_S:
                found.append(
                    f'{holder} called {since_s:.2f} s before and after'
                    f' {previous}'
                )
        last_seen_s[holder] = at_s
        previous = holder
    return found


def find_report_violations(calls: typing.Sequence[dict]) -> list[str]:
    """Returns which rules usage reports break.

    Args:
        calls: Calls with reports, in the order of their arrival.
    """
    found = find_violations(calls)
    counts: dict[int, dict] = {}
    for call in calls:
        body = call['body']
        known = counts.setdefault(body['WindowId'], body['Counts'])
        if known != body['Counts']:
            found.append(f'the report of {body["WindowId"]} has changed')
    missing = set(range(min(counts), max(counts))) - set(counts)
    if missing:
        found.append(f'no reports of the windows {sorted(missing)}')
    return found

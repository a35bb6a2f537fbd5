"""Checks all specifications, and that each of their mutations is found."""

import sys
import time

from model import checker
from model import claims
from model import config_log
from model import delivery
from model import duties
from model import fencing
from model import leases

SPECS = (
    config_log.ConfigLog,
    fencing.Fencing,
    fencing.ReadBack,
    leases.UnfencedLease,
    delivery.Delivery,
    claims.Claims,
    duties.UsageReport,
    duties.LateOrder,
)


def main() -> int:
    """Returns 0 if every property holds and every mutation is found."""
    results = [check(cls) for cls in SPECS]
    return 0 if all(results) else 1


def check(cls: type[checker.Spec]) -> bool:
    """Checks one specification and prints the results."""
    started_s = time.monotonic()
    spec = cls()
    print(f'{spec.name}, to depth {spec.depth}')
    is_passed = _do_properties_hold(cls) and _are_all_actions_reachable(spec)
    for mutation, property_name in spec.mutations.items():
        is_passed = (
            _is_mutation_found(cls, mutation, property_name) and is_passed
        )
    print(f'  {time.monotonic() - started_s:.1f} s')
    return is_passed


def _do_properties_hold(cls: type[checker.Spec]) -> bool:
    spec = cls()
    counterexample = checker.search(spec, spec.depth)
    if counterexample is not None:
        print(
            f'  BROKEN  {counterexample.property_name}:'
            f' {" > ".join(counterexample.steps)}'
        )
        return False
    print('  holds   all properties, in every run of that depth')
    not_inductive = []
    if spec.inductive:
        not_inductive = checker.prove_by_induction(cls(is_unbounded=True))
    if not_inductive:
        print(f'  BROKEN  not inductive: {", ".join(not_inductive)}')
        return False
    if spec.inductive:
        print(f'  proved  by induction: {", ".join(spec.inductive)}')
    return True


def _are_all_actions_reachable(spec: checker.Spec) -> bool:
    unreachable = checker.find_unreachable_actions(spec)
    if unreachable:
        print(f'  BROKEN  actions never happen: {", ".join(unreachable)}')
    return not unreachable


def _is_mutation_found(
    cls: type[checker.Spec], mutation: str, property_name: str
) -> bool:
    spec = cls(mutation)
    counterexample = checker.search(spec, spec.mutation_depth or spec.depth)
    if counterexample is None or counterexample.property_name != property_name:
        violated = (
            counterexample.property_name if counterexample else 'nothing'
        )
        print(f'  BROKEN  mutation "{mutation}": found {violated}')
        return False
    print(f'  refuted "{mutation}" in {len(counterexample.steps)} steps')
    return True


if __name__ == '__main__':
    sys.exit(main())

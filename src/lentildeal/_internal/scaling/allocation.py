"""Spreads replicas over failure domains and kinds."""

from __future__ import annotations

import math
import typing

from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids

# Share of the replicas that may not be reclaimed, besides the fewest of each
# failure domain. Replicas of the other kind are lost all at once in a failure
# domain, and others take some seconds to start.
LASTING_SHARE = 2 / 3
# Replicas that a cheaper failure domain may have more than another one.
PRICE_SLACK = 1
# Share of the need that is met when a failure domain is lost. Trainers wait
# for a part of their groups only, and replacements start within seconds.
SURVIVING_SHARE = 0.75


class Place(typing.NamedTuple):
    """Where and of which kind replicas are ordered.

    Attributes:
        failure_domain: Failure domain.
        is_spot: Whether they may be reclaimed.
    """

    failure_domain: ids.FailureDomain
    is_spot: bool

    @property
    def subject(self) -> str:
        """Name in the log; the last slash separates the kind."""
        kind = 'spot' if self.is_spot else 'lasting'
        return f'{self.failure_domain}/{kind}'


def parse_subject(subject: str) -> Place:
    """Reads a name that ``Place.subject`` has made."""
    domain, _, kind = subject.rpartition('/')
    return Place(ids.FailureDomain(domain), kind == 'spot')


Counts = dict[Place, int]


def list_places(scaling: deployment.Scaling) -> list[Place]:
    """All places of a service, the cheapest first."""
    places = [
        Place(domain, is_spot)
        for domain in scaling.prices
        for is_spot in (False, True)
    ]
    return sorted(places, key=lambda place: (get_price(scaling, place), place))


def get_price(scaling: deployment.Scaling, place: Place) -> float:
    """Price of a replica for a second."""
    price = scaling.prices[place.failure_domain]
    return price * scaling.spot_price if place.is_spot else price


def add_reserve(need: float, domain_count: int) -> int:
    """Replicas of which enough are left when a failure domain is lost."""
    if domain_count < 2:
        return math.ceil(need)
    left = (domain_count - 1) / domain_count
    return math.ceil(need * max(1.0, SURVIVING_SHARE / left))


def allocate(
    scaling: deployment.Scaling, wanted: int, limits: Counts
) -> Counts:
    """Distributes replicas within the bounds of each failure domain.

    Args:
        scaling: Bounds and prices.
        wanted: Number of replicas of the service.
        limits: Most replicas at places where none are to be had at present.

    Returns:
        Number of replicas at each place.
    """
    counts = dict.fromkeys(list_places(scaling), 0)
    for domain in scaling.prices:
        for _ in range(scaling.min_replicas):
            _add_cheapest(scaling, counts, limits, [domain], is_spot=False)
    lasting = max(sum(counts.values()), math.ceil(LASTING_SHARE * wanted))
    while sum(counts.values()) < wanted:
        is_spot = sum(n for p, n in counts.items() if not p.is_spot) >= lasting
        domains = _list_open_domains(scaling, counts, limits)
        if not domains:
            break
        _add_cheapest(scaling, counts, limits, domains, is_spot=is_spot)
    return counts


def _list_open_domains(
    scaling: deployment.Scaling, counts: Counts, limits: Counts
) -> list[ids.FailureDomain]:
    """Failure domains that take one more, without those that have most."""
    totals = {
        domain: sum(counts[Place(domain, kind)] for kind in (False, True))
        for domain in scaling.prices
    }
    has_room = {
        domain
        for domain, total in totals.items()
        if total < scaling.max_replicas
        and any(
            counts[place] < limits.get(place, math.inf)
            for place in (Place(domain, False), Place(domain, True))
        )
    }
    fewest = min((totals[domain] for domain in has_room), default=0)
    return [
        domain
        for domain in scaling.prices
        if domain in has_room and totals[domain] <= fewest + PRICE_SLACK
    ]


def _add_cheapest(
    scaling: deployment.Scaling,
    counts: Counts,
    limits: Counts,
    domains: list[ids.FailureDomain],
    is_spot: bool,
) -> None:
    """Adds a replica at the cheapest place, of the other kind if need be."""
    found = [
        Place(domain, kind)
        for domain in domains
        for kind in (False, True)
        if counts[Place(domain, kind)]
        < limits.get(Place(domain, kind), math.inf)
    ]
    if found:
        chosen = min(
            found,
            key=lambda p: (p.is_spot is not is_spot, get_price(scaling, p), p),
        )
        counts[chosen] += 1

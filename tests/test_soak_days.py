"""Short soak tests with fixed seeds; run more by hand with `python -m tests.soak --seeds 1..50`."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.soak.__main__ import FIRST_OCTET, OCTETS_PER_JOB, free_port, run
from tests.soak.checker import Violation
from tests.soak.plan import Plan, draw, with_late_discovery

SEEDS = (3, 101, 108, 113)  # one of them among 3,200 servers
DURATION_S = 12.0
LATE_DISCOVERY_SEEDS = (1, 2, 3)
LATE_DISCOVERY_DURATION_S = 16.0  # drains, and the time in which they must be known
LATE_DISCOVERY_SERVERS = 60


def violations_by_seed(
    seeds: tuple[int, ...], draw_plan: Callable[[int, int], Plan], folder: Path
) -> dict[int, list[Violation]]:
    """Play all seeds at once, and return the first violations of each; `draw_plan` gets seed and octet."""

    def violations(number: int) -> list[Violation]:
        plan = draw_plan(seeds[number], FIRST_OCTET + OCTETS_PER_JOB * number)
        verdict = run(plan, folder / str(plan.seed))
        assert verdict.figures["sent"] > 100
        return verdict.violations[:5]

    with ThreadPoolExecutor(len(seeds)) as pool:
        return dict(zip(seeds, pool.map(violations, range(len(seeds))), strict=True))


def test_no_rule_is_broken_under_overlapping_faults(tmp_path: Path) -> None:
    def draw_plan(seed: int, octet: int) -> Plan:
        return draw(seed, octet, free_port(), DURATION_S)

    assert violations_by_seed(SEEDS, draw_plan, tmp_path) == {seed: [] for seed in SEEDS}


def test_no_rule_is_broken_while_discovery_is_late_by_a_constant_amount(tmp_path: Path) -> None:
    # The list never changed any more, and sessions at servers that had gone were never released.
    def draw_plan(seed: int, octet: int) -> Plan:
        plan = draw(seed, octet, free_port(), LATE_DISCOVERY_DURATION_S, LATE_DISCOVERY_SERVERS)
        return with_late_discovery(plan)

    violations = violations_by_seed(LATE_DISCOVERY_SEEDS, draw_plan, tmp_path)
    assert violations == {seed: [] for seed in LATE_DISCOVERY_SEEDS}

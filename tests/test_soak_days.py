"""A short soak test with fixed seeds; run more by hand with `python -m tests.soak --seeds 1..50`."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.soak.__main__ import FIRST_OCTET, OCTETS_PER_JOB, free_port, run
from tests.soak.checker import Violation
from tests.soak.plan import draw

SEEDS = (3, 101, 108, 113)  # one of them among 3,200 servers
DURATION_S = 12.0


def test_no_rule_is_broken_under_overlapping_faults(tmp_path: Path) -> None:
    def violations(number: int) -> list[Violation]:
        octet = FIRST_OCTET + OCTETS_PER_JOB * number
        plan = draw(SEEDS[number], octet, free_port(), DURATION_S)
        verdict = run(plan, tmp_path / str(plan.seed))
        assert verdict.figures["sent"] > 100
        return verdict.violations[:5]

    with ThreadPoolExecutor(len(SEEDS)) as pool:
        violations_by_seed = dict(zip(SEEDS, pool.map(violations, range(len(SEEDS))), strict=True))
    assert violations_by_seed == {seed: [] for seed in SEEDS}

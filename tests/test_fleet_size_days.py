"""Front nodes with thousands of servers: processes on loopback, checked by recordings of emulated peers."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from tests.soak.__main__ import FIRST_OCTET, OCTETS_PER_JOB, free_port, run
from tests.soak.checker import Verdict
from tests.soak.plan import release

USUAL, MANY = 200, 3_200
# The operators' limits for the processor time of a node with `MANY` servers, against that with `USUAL`.
CPU_FACTOR, CPU_BASE_S, CPU_PER_SERVER_S = 1.4, 0.02, 0.12 / 1_000


@pytest.fixture(scope="module")
def verdicts(tmp_path_factory: pytest.TempPathFactory) -> dict[int, Verdict]:
    """The same replacement of servers in a fleet of the usual size and in a large one, run in parallel."""
    folder: Path = tmp_path_factory.mktemp("fleets")
    plans = [
        release(servers, FIRST_OCTET + OCTETS_PER_JOB * number, free_port())
        for number, servers in enumerate((USUAL, MANY))
    ]
    with ThreadPoolExecutor() as pool:
        found = pool.map(lambda plan: run(plan, folder / str(plan.servers)), plans)
        return {plan.servers: verdict for plan, verdict in zip(plans, found, strict=True)}


def test_no_request_is_lost_while_servers_are_replaced(verdicts: dict[int, Verdict]) -> None:
    assert verdicts[USUAL].figures["sent"] > 200
    assert verdicts[USUAL].violations[:10] == []


def test_no_request_is_lost_while_thousands_of_servers_are_replaced(verdicts: dict[int, Verdict]) -> None:
    assert verdicts[MANY].figures["sent"] > 200
    assert verdicts[MANY].violations[:10] == []


def test_processor_time_does_not_grow_with_the_number_of_servers(verdicts: dict[int, Verdict]) -> None:
    usual_s, many_s = (verdicts[servers].figures["cpu_s"] for servers in (USUAL, MANY))
    assert many_s <= CPU_FACTOR * usual_s + CPU_BASE_S + CPU_PER_SERVER_S * MANY

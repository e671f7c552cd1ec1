"""Simulates what all fronts use together: quotas with and without loans, shared and separate health checks.

    python -m benchmarks.fleet_simulation [--fronts 50,200,1000] [--seed 1] [--watched 50,200]

Runs the modules of `fennelcove.decisions.fleet` in simulated time. Messages take 1 to 30 ms, a third of them
are lost and a tenth duplicated, and a partition into halves lasts from the 10th to the 20th of 30 seconds.
Quotas (`--fronts`): a tenth of the fronts has nine tenths of the demand, which is 0.8 of the total rate.
Health checks (`--watched`): 60 servers, of which 6 go down at 5 s.
"""

from __future__ import annotations

import argparse
from functools import partial
from random import Random
from statistics import median

from fennelcove.decisions.fleet import health_checks
from fennelcove.decisions.fleet.health_checks import HealthCheckAssignment, ProbeResult
from fennelcove.decisions.fleet.shared_quotas import Quota, QuotaRequest, Resource

from benchmarks.event_scheduler import Callback, EventScheduler

END_US = 30_000_000
PARTITION_US = (10_000_000, 20_000_000)


class LossyNetwork(EventScheduler):
    """Events in the order of time, and messages that may be lost, delayed, duplicated or cut off."""

    def __init__(self, seed: int, fronts: int) -> None:
        super().__init__()
        self.rng = Random(seed)
        self.fronts = fronts
        self.messages = 0

    def send(self, sender: int, recipient: int, call: Callback) -> None:
        self.messages += 1
        crosses_halves = (sender < self.fronts // 2) != (recipient < self.fronts // 2)
        if (crosses_halves and PARTITION_US[0] <= self.now_us < PARTITION_US[1]) or self.rng.random() < 1 / 3:
            return
        for _ in range(2 if self.rng.random() < 0.1 else 1):
            self.after(self.rng.randrange(1_000, 30_000), call)


def simulate_quotas(fronts: int, seed: int, lends: bool) -> tuple[float, float, float]:
    """Simulate the quota of one resource.

    Returns:
        The fraction of the demand that was met, the largest use in a second as a fraction of the total rate,
        and the messages of a front in a second.
    """
    network, total_rate = LossyNetwork(seed, fronts), 2.0 * fronts
    quotas = [Quota(Resource.FURTHER_JOIN, total_rate, fronts, i, 1, 0) for i in range(fronts)]
    busy_fronts = max(1, fronts // 10)
    demanded, met, met_by_second = [0], [0], [0] * (END_US // 1_000_000)

    def demand_unit(i: int, rate: float) -> None:
        demanded[0] += 1
        if quotas[i].try_acquire(network.now_us):
            met[0] += 1
            met_by_second[network.now_us // 1_000_000] += 1
        network.after(round(network.rng.expovariate(rate) * 1e6), lambda: demand_unit(i, rate))

    def send_requests(i: int) -> None:
        network.after(250_000, lambda: send_requests(i))
        for lender, request in quotas[i].next_requests(network.rng.random(), network.now_us) if lends else ():
            network.send(i, lender, partial(lend, i, lender, request))

    def lend(i: int, lender: int, request: QuotaRequest) -> None:
        loan = quotas[lender].on_request(i, request, network.now_us)
        if loan is not None:
            network.send(lender, i, lambda: quotas[i].on_transfer(lender, loan, network.now_us))

    for i in range(fronts):
        rate = 0.8 * total_rate * (0.9 / busy_fronts if i < busy_fronts else 0.1 / (fronts - busy_fronts))
        network.at(round(network.rng.expovariate(rate) * 1e6), partial(demand_unit, i, rate))
        network.at(network.rng.randrange(250_000), partial(send_requests, i))
    network.run(END_US)
    return met[0] / demanded[0], max(met_by_second) / total_rate, network.messages / fronts / (END_US / 1e6)


def simulate_health_checks(fronts: int, seed: int, shared: bool) -> tuple[float, float, float, float]:
    """Simulate the health checks of all servers.

    Returns:
        The probes in a second at a healthy server and at one that went down, the seconds until half of all
        fronts know that a server is down, and the fraction of the healthy servers that some front takes for
        down.
    """
    network = LossyNetwork(seed, fronts)
    servers = [f"box-{i}" for i in range(60)]
    down_servers = set(servers[:6])
    assignments = [HealthCheckAssignment(i, fronts) for i in range(fronts)]
    live_fronts = {i: range(fronts) if shared else (i,) for i in range(fronts)}
    probes = dict.fromkeys(servers, 0)
    detected_us: dict[str, dict[int, int]] = {server: {} for server in down_servers}
    false_alarms: set[tuple[int, str]] = set()
    is_checker = {
        (server, i): i in health_checks.chosen_checkers(server, live_fronts[i])
        for server in servers
        for i in range(fronts)
    }
    checked_servers = [[server for server in servers if is_checker[server, i]] for i in range(fronts)]

    def run_probes(i: int) -> None:
        network.after(250_000, lambda: run_probes(i))
        for server in assignments[i].due_probes(
            checked_servers[i], live_fronts[i], network.rng.random(), network.now_us
        ):
            probes[server] += 1
            is_down = server in down_servers and network.now_us >= 5_000_000
            # One network path in fifty is bad throughout: that alone must not take a server down for others.
            has_bad_path = Random(f"{seed} {i} {server}").random() < 0.02
            result = ProbeResult.FAILED if is_down or has_bad_path else ProbeResult.ANSWERED
            report = assignments[i].on_probe_completed(server, result, network.now_us)
            record_view(i, server)
            if shared:
                for recipient in range(fronts):
                    if recipient != i:
                        network.send(
                            i,
                            recipient,
                            partial(on_report, recipient, i, server, report.is_unhealthy, report.sequence),
                        )

    def on_report(recipient: int, sender: int, server: str, is_unhealthy: bool, sequence: int) -> None:
        assignments[recipient].on_report(sender, server, is_unhealthy, sequence, network.now_us)
        record_view(recipient, server)

    def record_view(i: int, server: str) -> None:
        if assignments[i].is_down(server, live_fronts[i], network.now_us):
            if server in down_servers and network.now_us >= 5_000_000:
                detected_us[server].setdefault(i, network.now_us)
            elif server not in down_servers:
                false_alarms.add((i, server))

    for i in range(fronts):
        network.at(network.rng.randrange(250_000), partial(run_probes, i))
    network.run(END_US)
    healthy = [probes[server] / 30 for server in servers if server not in down_servers]
    down = [probes[server] / 30 for server in down_servers]
    known = [sorted(times.values()) for times in detected_us.values() if len(times) > fronts // 2]
    delays = [times[fronts // 2] / 1e6 - 5 for times in known]
    delay = median(delays) if delays else float("inf")
    return (
        median(healthy),
        median(down),
        delay,
        len({server for _, server in false_alarms}) / (len(servers) - len(down_servers)),
    )


def main() -> None:
    """Print a row for each size and variant."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--fronts", default="50,200,1000")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--watched", default="50,200")
    options = parser.parse_args()
    for fronts in map(int, options.fronts.split(",")):
        for lends in (False, True):
            met, largest, messages = simulate_quotas(fronts, options.seed, lends)
            name = "with loans" if lends else "equal shares"
            print(
                f"quota  {fronts:5} fronts, {name:12}: {met:.3f} of the demand met, at most {largest:.3f} of "
                f"the total rate in a second, {messages:.2f} messages a front a second",
                flush=True,
            )
    for fronts in map(int, options.watched.split(",")):
        for shared in (False, True):
            healthy, down, delay, wrong = simulate_health_checks(fronts, options.seed, shared)
            name = "shared" if shared else "separate"
            print(
                f"probes {fronts:5} fronts, {name:12}: {healthy:.2f} a second at a healthy server, "
                f"{down:.2f} at one that went down; half of the fronts know after {delay:.1f} s; "
                f"{wrong:.3f} of the healthy servers taken for down by some front",
                flush=True,
            )


if __name__ == "__main__":
    main()

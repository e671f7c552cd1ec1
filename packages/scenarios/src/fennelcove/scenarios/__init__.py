"""Fault-injection scenarios: run against live fronts, recorded at their peers' sockets, checked by rules."""

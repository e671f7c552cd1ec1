"""A loopback fault proxy: relays traffic between all parties of a scenario and injects network faults."""

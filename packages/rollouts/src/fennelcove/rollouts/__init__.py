"""Disruption permits, rollouts in waves, and drains of a fleet. No I/O, clock or randomness of its own."""

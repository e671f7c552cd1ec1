"""Hosts many fronts on the simulator's wire."""

"""Disruption permits, staged rollouts and drains for a fleet.

The package does no I/O and reads no clock: callers pass in time, random numbers and messages.
"""

"""Concurrency limits of servers, learned and shared by a fleet of fronts.

The package takes decisions only: no I/O, no clock and no random source.
"""

"""Weighted fair queueing of server slots among tenants, across all fronts.

The package takes decisions only: no I/O, no clock, no threads and no random source. Callers pass in times and
hold their own lock.
"""

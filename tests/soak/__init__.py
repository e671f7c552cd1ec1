"""Randomized soak of front nodes: real processes on loopback, overlapping faults, invariants as the oracle.

Run by hand: `python -m tests.soak --seeds 1..50 --jobs 3`. Each process gets the plan as a file and acts on
its own part of it by the Unix clock; each writes a recording, and `checker` reads the recordings alone.
"""

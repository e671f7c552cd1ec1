"""Randomized soak test of front nodes: real processes on loopback, overlapping faults, and invariant checks.

Run it with `python -m tests.soak --seeds 1..50 --jobs 3`. Each process reads the plan from a file, executes
its own part of it by the Unix clock and writes a recording; `checker` uses the recordings only.
"""

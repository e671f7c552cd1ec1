"""Decisions on state that outlives a process, and on how the next process recovers from it."""

"""Relays on loopback between all parties of a day, and the faults that they make."""

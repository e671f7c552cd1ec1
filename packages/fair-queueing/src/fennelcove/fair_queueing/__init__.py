"""Whose turn it is at a box: slot-time shared out among tenants, over all fronts. No I/O, no clock, no
chance."""

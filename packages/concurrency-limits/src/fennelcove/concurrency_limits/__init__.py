"""How many joins a box takes, learned by the fleet: pure decisions, no I/O, no clock, no chance."""

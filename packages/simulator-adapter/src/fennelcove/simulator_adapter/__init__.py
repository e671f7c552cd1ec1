"""Runs the placement policies of many fronts against the simulator."""

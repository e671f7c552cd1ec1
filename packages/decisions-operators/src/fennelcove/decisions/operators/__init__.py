"""Decisions about operators' commands, and about the shutdown of a front."""

"""Concurrency limits of servers, learned and shared by a fleet: no I/O, no clock, no random source."""

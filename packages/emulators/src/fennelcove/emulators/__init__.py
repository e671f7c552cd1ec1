"""Emulated servers, clients and endpoint list service on loopback, for tests and scenarios.

Not imported by the front itself.
"""

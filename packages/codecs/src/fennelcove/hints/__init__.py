"""Hints between clients, fronts and servers: CMCD (CTA-5004) and CMSD (CTA-5006).

Parsers without I/O: a malformed hint is dropped and counted, and never raises an error.
"""

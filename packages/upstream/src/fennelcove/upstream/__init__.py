"""The front's outgoing connections: attempts, commands and event streams at servers, and the endpoint list.

These modules do network I/O only; the decisions are made in the core.
"""

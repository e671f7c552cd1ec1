"""Decisions about servers: endpoint list, load, attempts, commands, event streams and lost connections."""

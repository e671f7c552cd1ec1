"""Decisions about media servers: their list, load, attempts, commands, event streams and lost connections."""

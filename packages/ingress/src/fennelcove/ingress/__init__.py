"""Listeners for clients, authors and operators: socket I/O only; the core decides what to answer."""

"""Typed messages of every interface, shared by servers, clients, emulators and API descriptions; no I/O."""

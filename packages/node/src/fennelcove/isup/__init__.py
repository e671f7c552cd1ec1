"""Codec of the binary protocol between nodes and servers, without I/O."""

"""Codec of the protocol between clients and nodes (RTSP/1.0), without I/O."""

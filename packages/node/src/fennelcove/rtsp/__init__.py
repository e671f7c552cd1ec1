"""Codec of the clients' side of the platform's protocol (RTSP/1.0), without I/O."""

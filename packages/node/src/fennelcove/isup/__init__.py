"""Codec of the servers' side of the platform's protocol (binary messages), without I/O."""

"""An HTTP/1.1 codec without I/O (RFC 9110, RFC 9112): parses bytes into messages and serializes messages."""

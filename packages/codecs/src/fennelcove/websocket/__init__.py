"""A WebSocket codec without I/O (RFC 6455, RFC 7692): received bytes in; events and bytes to send out."""

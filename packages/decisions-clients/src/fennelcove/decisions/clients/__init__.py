"""Decisions about clients: admission, tokens, sessions, waiting rooms, storms, seats and idempotency."""

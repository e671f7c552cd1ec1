"""Decisions about clients: admission, tokens, sessions, waiting rooms, retry storms, seats, idempotency."""

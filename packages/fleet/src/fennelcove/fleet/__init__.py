"""Concurrent calls to many fronts, and the inventory file that lists them."""

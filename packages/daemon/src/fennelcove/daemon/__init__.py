"""Puts one front together and runs it from start to end."""

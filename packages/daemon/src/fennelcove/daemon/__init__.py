"""Builds one front from its settings and runs it."""

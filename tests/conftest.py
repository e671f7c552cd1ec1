"""Hypothesis profiles, and the hooks for known failures.

By default each run tests the same examples, so that its result is reproducible; HYPOTHESIS_PROFILE=explore
draws new ones.
"""

from __future__ import annotations

import os

from hypothesis import settings

from tests.known_red import pytest_collection_modifyitems, pytest_configure, pytest_terminal_summary

__all__ = ["pytest_collection_modifyitems", "pytest_configure", "pytest_terminal_summary"]

settings.register_profile("same", derandomize=True, database=None, deadline=None)
settings.register_profile("explore", deadline=None, max_examples=2000)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "same"))

"""Decisions that fronts take as one fleet, each from the messages it receives from the others."""

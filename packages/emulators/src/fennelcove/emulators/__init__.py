"""Stand-ins on loopback: boxes, a list service, viewers. For tests and scripted days; no front imports
them.
"""

"""Scripted days of trouble: played against a live front, recorded from its peers' sockets, judged by the
rules.
"""

"""Typed messages of every interface: one source for doors, peers, stand-ins and, later, descriptions. No
I/O.
"""

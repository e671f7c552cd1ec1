"""The front as a client: joins and orders to boxes, their feeds, the list service. Sockets only, no
decisions.
"""

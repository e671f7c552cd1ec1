"""The core of one front: events of clients and servers in, commands out, under one lock."""

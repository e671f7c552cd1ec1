"""The core of a front: turns events from clients and servers into commands, under one lock."""

"""The front node: runs the placement policy on the platform's protocol, between clients and servers."""

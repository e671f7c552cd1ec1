"""Descriptions of the HTTP and WebSocket APIs, generated from the message types and the route tables."""

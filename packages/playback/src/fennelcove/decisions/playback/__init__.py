"""Decisions about which segments are listed for each player, and which server they are fetched from."""

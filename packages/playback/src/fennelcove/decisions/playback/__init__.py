"""Decisions on what is listed for each player, and from which server it is fetched."""

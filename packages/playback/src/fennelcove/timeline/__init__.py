"""The model of a timeline: media divided into segments, changes to them, and segments listed for a player."""

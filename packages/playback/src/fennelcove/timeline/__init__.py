"""The model of a timeline: media cut into segments, changes to it, and the segments listed for one player."""

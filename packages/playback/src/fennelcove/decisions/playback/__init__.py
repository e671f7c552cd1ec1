"""What the front rules about what players are shown, and from where."""

"""What outlives a process, and how a new one takes it up."""

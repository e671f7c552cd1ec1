"""The state that a front persists across restarts: a journal, and the base file that it is merged into."""

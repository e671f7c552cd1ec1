"""State that a front persists across restarts: a journal, and a base file that it is folded into."""

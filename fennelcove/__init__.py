"""A session front's decisions: which server, which rung, or a throttled answer."""

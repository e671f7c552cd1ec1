"""What the front rules about those who ask: who comes in, waits, is known again, and for how long."""

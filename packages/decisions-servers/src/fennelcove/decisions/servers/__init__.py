"""What the front rules about boxes: their list, their reports, joins and orders."""

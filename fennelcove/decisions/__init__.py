"""What the running front decides beyond `fennelcove.rules`: no I/O, no clock, no chance but what is handed
in."""

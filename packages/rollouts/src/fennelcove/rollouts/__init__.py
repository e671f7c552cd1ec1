"""Who may be out of a fleet, releases in waves, how one front or box goes out. No I/O, clock or chance."""

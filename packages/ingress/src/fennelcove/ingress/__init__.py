"""The doors: sockets towards viewers. They read, write and wait; what to answer comes from the core."""

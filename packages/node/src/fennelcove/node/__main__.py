"""Runs one front node: python -m fennelcove.node."""

import os
import signal
import sys
from contextlib import suppress


def exit_at_once(number: int, frame: object) -> None:
    """End the process: before it listens, no request is pending, and its file may never come."""
    os._exit(0)


if __name__ == "__main__":
    # Ahead of the imports and of the configuration: by its default action a SIGHUP in the start was a crash.
    # It stays pending until the node runs; SIGTERM and SIGINT are heeded here until the node blocks them too.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, exit_at_once)
    from fennelcove.node.program import main

    status = main()
    with suppress(OSError, ValueError):  # nobody takes the log
        sys.stdout.flush()
    os._exit(status)  # threads that wait on sockets must not hold up the end

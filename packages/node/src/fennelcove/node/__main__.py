"""Runs one front node: python -m fennelcove.node."""

import os
import signal
import sys
from contextlib import suppress


def exit_at_once(number: int, frame: object) -> None:
    """Exit immediately: no request is pending before the node listens, and reading its file may block."""
    os._exit(0)


if __name__ == "__main__":
    # Blocked before the imports and before the configuration is read: SIGHUP's default action would end the
    # process during its start. It stays pending until the node runs. SIGTERM and SIGINT have this handler
    # until the node blocks them as well.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, exit_at_once)
    from fennelcove.node.program import main

    status = main()
    with suppress(OSError, ValueError):  # the reader of the log has gone
        sys.stdout.flush()
    os._exit(status)  # does not wait for threads that are blocked on sockets

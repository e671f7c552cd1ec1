"""A front node starts again and is handed its sessions; the connections to one of three servers come up a second late."""
# ruff: noqa

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import (
    TROUBLE,
    Board,
    LateServer,
    Node,
    Record,
    Viewer,
    run_case,
    session_id,
    settings,
    wait_for,
)

LATE_S = 0.9  # from then on the server takes connections; the kernel's first repeat of a SYN comes 1 s after the SYN
DELAYS_S = (0.0, 0.06, 0.12, 0.18)  # of the hand-over after the test; a round each


def play(record: Record, nodes: list) -> bool:
    servers = [LateServer(f"s-{cell}", cell, record) for cell in range(3)]
    board = Board(record, [server.entry() for server in servers])
    node = Node(record, board, settings())
    nodes.append(node)
    node.start()
    for number in range(9):
        viewer, session = Viewer(f"viewer-{number}", node.address, record), session_id()
        viewer.set_up(session, wait_ms=3000, title=f"{number + 1:x}")
        viewer.wait_answer(session, 4)
    late = max(servers, key=lambda server: len(server.standing))
    broken = 0
    for delay_s in DELAYS_S:
        stood = {session.hex(): server for server in servers for session in list(server.standing)}
        record("case", f"{len(stood)} sessions stand, {len(late.standing)} of them at {late.name}")
        if len(late.standing) < 2:
            raise RuntimeError("too few sessions at one server")
        node.kill()
        if TROUBLE:
            late.hold_connections()
        node.start()
        time.sleep(delay_s)
        handed_at, viewers = time.time(), {}
        for number, (session, server) in enumerate(stood.items()):
            viewers[session] = Viewer(f"viewer-{number}", node.address, record)
            viewers[session].set_up(session, wait_ms=3000, title=f"{number + 1:x}", more=f";at:{server.name}")
        if TROUBLE:
            time.sleep(max(0.0, handed_at + LATE_S - time.time()))
            late.take_connections()
        wait_for(lambda: late.last_accepted > handed_at, 5)
        record(
            "case",
            f"the front node's connection to {late.name} came up {late.last_accepted - handed_at:.3f} s after the hand-over",
        )
        time.sleep(3.0)
        for session, server in stood.items():
            told = viewers[session].find(session, "TEARDOWN")
            if told and bytes.fromhex(session) in server.standing:
                broken += 1
                record(
                    "case",
                    f"viewer was told {told[0][0] - handed_at:.3f} s after the hand-over that {session} is over; it stands at {server.name}",
                )
    still = [
        each
        for each in stood
        if bytes.fromhex(each) in stood[each].standing and not viewers[each].find(each, "TEARDOWN")
    ]
    for session in still[:3]:  # what was kept is still released
        stood[session].end(bytes.fromhex(session))
        if not wait_for(lambda: viewers[session].find(session, "TEARDOWN"), 1.05):
            broken += 1
            record("case", f"{session} ended and its viewer was not told within 1 s")
    record("case", f"{broken} sessions were ended towards their viewers alone")
    return not broken


run_case(Path(__file__).resolve().parent, play)

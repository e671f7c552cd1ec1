"""A fifth of the servers is cut off from the front node for 6 s; some viewers end their sessions there meanwhile."""
# ruff: noqa

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import (
    TROUBLE,
    Board,
    CutServer,
    Node,
    Record,
    Viewer,
    run_case,
    session_id,
    settings,
    wait_for,
)

CUT_S = 6.0  # the page: "for 6 s a zone is partitioned (or a fifth of the servers fall silent)"
ZONES = ("hall-a", "hall-b", "hall-c")
SERVERS, VIEWERS, ROUNDS = 40, 120, 2


def play(record: Record, nodes: list) -> bool:
    servers = [
        CutServer(f"s-{number}", number % 12, record, zone=ZONES[number % 3]) for number in range(SERVERS)
    ]
    board = Board(record, [server.entry() for server in servers])
    links = {"AllLinksKb": 1000000.0, "RackLinkKb": 350000.0, "KbPerWeight": 6250.0}
    node = Node(record, board, settings(FamilyInfo=links), sockets=512)
    nodes.append(node)
    node.start()
    return not sum([cut_off(record, node, servers) for _ in range(ROUNDS)])


def cut_off(record: Record, node: Node, servers: list) -> int:
    """Set sessions up, cut a fifth of the servers off, and count what is left standing there."""
    viewers = {}
    for number in range(VIEWERS):
        viewer, session = Viewer(f"viewer-{number}", node.address, record), session_id()
        viewer.set_up(session, wait_ms=3000, title=f"{number + 1:x}", home=number % 12, top=1)
        viewer.wait_answer(session, 4)
        viewers[session] = viewer
        time.sleep(0.03)  # so that the front node's tests of the servers don't all fall on one moment
    cut = sorted(servers, key=lambda server: -len(server.standing))[: SERVERS // 5]
    inside = {each: server for server in cut for each in viewers if bytes.fromhex(each) in server.standing}
    record("case", f"{len(inside)} sessions stand at the {len(cut)} servers that will be cut off")
    if len(inside) < 4:
        raise RuntimeError("too few sessions there")
    time.sleep(2.0)
    if TROUBLE:
        for server in cut:
            server.cut()
    began = time.time()
    time.sleep(3.8)
    ended = list(inside)[::2]  # half of their viewers end them
    for session in ended:
        viewers[session].tear_down(session, "cause=16")
        time.sleep(1.0 / len(ended))
    time.sleep(max(0.0, began + CUT_S - time.time()))
    if TROUBLE:
        for server in cut:
            server.heal()
    time.sleep(10.0)
    left, told_over = 0, 0
    for session, server in inside.items():
        if bytes.fromhex(session) not in server.standing:
            continue
        if session in ended and viewers[session].find(session, "RTSP/1.0 200", 2):
            left += 1
            record(
                "case",
                f"{session} was ended by its viewer, answered 200; it stands at {server.name} 10 s after the cut",
            )
        elif told := viewers[session].find(session, "TEARDOWN"):
            told_over += 1
            at = told[0][0] - began
            record(
                "case",
                f"viewer was told {at:.3f} s after the cut began that {session} is over; it stands at {server.name}",
            )
    record(
        "case",
        f"left standing: {left} sessions that viewers had ended, {told_over} that the front node had ended",
    )
    for session, viewer in viewers.items():  # the rest ends, for the next round
        viewer.tear_down(session, "cause=16")
    time.sleep(1.0)
    for viewer in viewers.values():
        viewer.close()
    for server in servers:  # what was left behind comes to its natural end
        server.standing.clear()
    return left + told_over


run_case(Path(__file__).resolve().parent, play)

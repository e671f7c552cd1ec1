"""A complete exchange with the simulator's adapter, and its errors for malformed input."""

from __future__ import annotations

import io
import re
import unittest

from fennelcove.simulator_adapter.__main__ import run

SETTINGS = (
    '{"Balancers":2,"Index":0,"Zone":"z","Lanes":[{"Name":"r","AimMs":1000.0,"Effect":"free","Importance":1.0}],'
    '"Kinds":["k"],"FamilyInfo":{"Guard":1.0,"LevelKb":[100.0,200.0],"WorthByRung":[0.5,1.0],"KindStreams":[10],'
    '"AllLinksKb":1000.0,"KbPerWeight":1000.0,"Places":3,"Racks":1,"RackLinkKb":1000.0,"ReportsEveryMs":3000.0},'
    '"Allowed":{"SendCap":3},"Rules":{"RampTimeMs":1000.0,"StartCapacity":0.5},"LoadReport":{"Fields":["util"]},'
    '"SomethingNew":1}'
)
STARTUP = (
    "turn WallMs=1.0\n"
    f"up Front=4 Entropy=9 Facts={SETTINGS}\n"
    "pool Buffer=0 RowsIn=1\n"
    "entry Server=10.0.0.1:1 FailureDomain=z Hw=k Place=0 State=active Share=1\n"
    "directory_update Front=4 Epoch=1 Mode=FULL Buffer=0\n"
    "commit\n"
)
REQUEST = (
    "order Front=4 Job=j1 TierClass=r Affinity=1 Asset=2 BudgetMs=500.0 StartCell=0 CellsInRow=1 TopRung=1\n"
)


def exchange(text: str) -> tuple[int, str, str]:
    out, errors = io.StringIO(), io.StringIO()
    status = run(io.StringIO(text), out, errors)
    return status, out.getvalue(), errors.getvalue()


class ExchangeTest(unittest.TestCase):
    def test_a_session_from_request_to_end(self) -> None:
        status, out, errors = exchange(
            STARTUP + "turn WallMs=2000.0\n" + REQUEST + "commit\n"
            "turn WallMs=2050.0\nestablished Front=4 Job=j1 Server=10.0.0.1:1 Try=0 TookMs=50.0\ncommit\n"
            "turn WallMs=9000.0\nreport_back Front=4 Job=j1 Reason=served TookMs=6950.0 Server=10.0.0.1:1 "
            "DoneFlag=1 Try=0 Feedback=0.2\ncancelled_by_client Front=4 Job=j1\ncommit\n"
            "turn WallMs=9010.0\ncrash_now Front=4\ncommit\n"
        )
        assert (status, errors) == (0, "")
        assert (
            out == "done\nrate Front=4 Job=j1 Rung=1\n"
            "call_out Front=4 Job=j1 Server=10.0.0.1:1 AllowForMs=500.0\n" + 4 * "done\n"
        )

    def test_errors_name_the_malformed_input_and_the_remedy(self) -> None:
        turn = STARTUP + "turn WallMs=2\n"
        for text, culprit in (
            ("nonsense\n", "line 1"),
            ("turn WallMs=x\n", "WallMs"),
            ("turn\n", "WallMs"),
            ("turn WallMs=1\nup Front=1 Entropy=1 Facts={}\n", "LevelKb"),
            ("turn WallMs=1\nup Front=1 Entropy=1 Facts={\n", "Facts"),
            ("turn WallMs=1\nfired Front=1 Name=1\n", "Front"),
            (turn + REQUEST.replace("Asset=2 ", ""), "Asset"),
            (turn + REQUEST.replace("TierClass=r", "TierClass=q"), "TierClass"),
            (turn + "what Front=4\n", "what"),
        ):
            status, _, errors = exchange(text)
            assert status == 1, text
            sentence, remedy = errors.splitlines()
            assert culprit in sentence
            assert re.search("what can be done: .+ \\[simulator-line-unreadable\\]$", remedy)


if __name__ == "__main__":
    unittest.main()

"""Plots of recordings, as PNG and SVG; matplotlib is one of the development tools."""

from __future__ import annotations

from pathlib import Path

from fennelcove.emulators.recorder import Record
from fennelcove.scenarios.recovery import seconds
from fennelcove.scenarios.replays import series


def draw(records: list[Record], folder: str) -> list[str]:
    """Draw one figure of three panels into a folder and return the files written.

    Raises:
        ImportError: matplotlib is not installed.
        OSError: the folder can't be written.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    found = series(records)
    figure, (upper, middle, lower) = pyplot.subplots(3, 1, figsize=(9, 9), sharex=True)
    for name in ("asked", "set-ups at boxes"):
        upper.plot(*zip(*found[name], strict=True), label=name, drawstyle="steps-post")
    for name in ("played", "throttled", "terminated"):
        middle.plot(*zip(*found[name], strict=True), label=name, drawstyle="steps-post")
    waits = found["come-back times told"]
    if waits:
        lower.plot(*zip(*waits, strict=True), ".", markersize=2, label="Retry-After, s")
    for panel, title in ((upper, "per second"), (middle, "responses per second"), (lower, "seconds")):
        panel.set_ylabel(title)
        panel.legend(loc="upper right")
        panel.grid(alpha=0.3)
    lower.set_xlabel("second of the run")
    folder_path = Path(folder)
    folder_path.mkdir(parents=True, exist_ok=True)
    files = [str(folder_path / f"storm.{kind}") for kind in ("png", "svg")]
    for file in files:
        figure.savefig(file, dpi=110, bbox_inches="tight")
    pyplot.close(figure)
    return files


def draw_seconds(records: list[Record], file: str) -> None:
    """Draw the outcomes of requests in each second, with the faults marked.

    Raises:
        ImportError: matplotlib is not installed.
        OSError: the file can't be written.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    found = seconds(records)
    figure, panel = pyplot.subplots(figsize=(9, 3.6))
    at = [second.at_s for second in found]
    for name in ("asked", "played", "refused", "unanswered"):
        panel.plot(at, [getattr(second, name) for second in found], label=name, drawstyle="steps-post")
    began_us = next((r["t_us"] for r in records if r["what"] == "day_began"), 0)
    for record in records:
        if record["what"] == "power" or (record["what"] in ("trouble", "fault") and record["on"]):
            panel.axvline((record["t_us"] - began_us) / 1e6, color="grey", linewidth=0.8)
    panel.set_xlabel("second of the run")
    panel.set_ylabel("per second")
    panel.legend(loc="upper right")
    panel.grid(alpha=0.3)
    figure.savefig(file, dpi=90, bbox_inches="tight")
    pyplot.close(figure)

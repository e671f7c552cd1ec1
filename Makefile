# The two commands of a fresh machine. The environment is made anew when the pins change.
PYTHON ?= python3
STAMP := .venv/.pins-$(shell cksum pyproject.toml | cut -d' ' -f1)

.PHONY: demo test lint

demo: $(STAMP)
	.venv/bin/fennelcove day play evening --seed 1

test: $(STAMP) lint
	.venv/bin/python -m pytest

lint: $(STAMP)
	.venv/bin/ruff check .
	.venv/bin/ruff format --check --quiet .
	.venv/bin/mypy fennelcove

$(STAMP):
	test -x .venv/bin/python || $(PYTHON) -m venv .venv
	.venv/bin/python -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	rm -f .venv/.pins-*
	touch $@

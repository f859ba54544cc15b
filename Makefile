VENV ?= .venv
PYTHON := $(VENV)/bin/python
PACKAGES := packages/cassiahaven-core packages/cassiahaven-entry packages/cassiahaven-cli packages/cassiahaven-standins platform

SEED ?= 1
SECONDS ?= 20

.PHONY: setup test check model bench demo soak format

$(VENV)/.ready: requirements.txt $(PACKAGES:%=%/pyproject.toml)
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet -r requirements.txt
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation $(PACKAGES:%=-e %)
	touch $@

setup: $(VENV)/.ready

test: setup
	$(PYTHON) -m pytest

check: setup
	$(VENV)/bin/black --check --quiet .
	$(VENV)/bin/ruff check --quiet .

model: setup
	$(PYTHON) -m specs

bench: setup
	$(PYTHON) -m benchmarks

demo: setup
	$(PYTHON) -m cassiahaven_standins.demo
	$(PYTHON) -m cassiahaven_standins.platform_demo

soak: setup
	$(PYTHON) -m cassiahaven_standins.platform_soak --seed $(SEED) --seconds $(SECONDS)

format: setup
	$(VENV)/bin/black --quiet .
	$(VENV)/bin/ruff check --quiet --fix .

# Every target works in a virtual environment of its own under .venv.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SEED ?= 1
SECONDS ?= 300
COUNT ?= 10

.PHONY: demo test lint format types check lock soak fleet-soak bench capacity

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install -q --disable-pip-version-check --no-build-isolation \
	    --no-deps -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/filbertstep-demo

bench: $(STAMP)
	$(BIN)/python -m filbertstep.bench --seed=$(SEED)

test: $(STAMP)
	$(BIN)/python -m tests.run

soak: $(STAMP)
	$(BIN)/python -m tests.soak --seconds=$(SECONDS) --seed=$(SEED)

fleet-soak: $(STAMP)
	$(BIN)/python -m tests.fleet_soak --seed=$(SEED) --count=$(COUNT)

lint: $(STAMP)
	$(BIN)/ruff format --check filbertstep tests
	$(BIN)/ruff check --select I filbertstep tests
	$(BIN)/flake8 filbertstep tests

types: $(STAMP)
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff check --select I --fix filbertstep tests
	$(BIN)/ruff format filbertstep tests

check: lint types test

lock: $(STAMP)
	$(BIN)/pip-compile -q --extra dev --strip-extras --no-emit-index-url \
	    --no-emit-trusted-host --no-emit-find-links \
	    -o requirements.lock pyproject.toml

capacity: $(STAMP)
	$(BIN)/python -m filbertstep.capacity

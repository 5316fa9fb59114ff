PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
CODE := packages platform standins bench soak tests

.PHONY: demo test lint format bench soak search clean

$(STAMP): requirements.txt packages/comfreyarch-core/pyproject.toml packages/comfreyarch-daemon/pyproject.toml packages/comfreyarch-cli/pyproject.toml platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check setuptools==83.0.0
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation \
		-e packages/comfreyarch-core -e packages/comfreyarch-daemon -e packages/comfreyarch-cli -e platform
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m standins.demo

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/ruff check $(CODE)
	$(BIN)/flake8 $(CODE)
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff check --fix --quiet $(CODE) || true
	$(BIN)/ruff format $(CODE)

bench: $(STAMP)
	$(BIN)/python -m bench

SEED ?= 1
MINUTES ?= 1
soak: $(STAMP)
	$(BIN)/python -m soak --seed $(SEED) --minutes $(MINUTES)

# The state machines of the core, searched for long.
search: $(STAMP)
	SOAK=1 $(BIN)/python -m pytest tests -k soak --hypothesis-seed=$(SEED)

clean:
	rm -rf $(VENV) run build

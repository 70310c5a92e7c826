PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
SEEDS ?= 1-50

.PHONY: setup demo test lint generate bench model capacity soak

setup: $(VENV)/.done

$(VENV)/.done: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps -e .
	touch $@

demo: setup
	$(BIN)/python -m bench.demo

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/flake8 papayalock bench test tools platform
	$(BIN)/mypy papayalock bench tools

generate: setup
	$(BIN)/python tools/generate.py

bench: setup
	$(BIN)/python -m bench.run $(EXP) --seed $(SEED)

model: setup
	$(BIN)/python models/check.py

capacity: setup
	$(BIN)/python tools/capacity.py

soak: setup
	$(BIN)/python -m bench.soak --seeds $(SEEDS)

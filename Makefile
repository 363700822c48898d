PYTHON ?= python3
BIN = .venv/bin

.PHONY: install demo test lint format

install: .venv/installed

.venv/installed: pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q -e '.[test]'
	touch .venv/installed

demo: install
	$(BIN)/flamingoweird --standalone --demo

test: install
	$(BIN)/pytest

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

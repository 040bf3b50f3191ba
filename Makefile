PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: all setup demo test format lint check pages clean

all: test

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

demo: setup
	$(BIN)/python -m demo

test: setup
	$(BIN)/python -m tools.run_tests

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

check: lint test

# Pages that are generated from the code; a test fails while they are out of date.
pages: setup
	$(BIN)/python -m tools.event_catalogue
	$(BIN)/python -m tools.settings_page

clean:
	rm -rf $(VENV) build *.egg-info

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: all setup demo test format lint check pages clean

all: test

# Installs anew when the machine, Python, the requirements or the path differ, or the
# last installation did not finish.
setup:
	@$(PYTHON) -m tools.build_folder $(VENV) --input requirements.txt \
		--input requirements-dev.txt --input pyproject.toml \
		--fact "$(CURDIR)" --fact "$$(command -v $(PYTHON))" \
		-- sh -c "$(PYTHON) -m venv {} \
		&& {}/bin/pip install --quiet -r requirements-dev.txt \
		&& {}/bin/pip install --quiet --no-deps --no-build-isolation -e ."

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

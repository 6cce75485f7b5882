PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: run check bench format clean

$(VENV)/.installed: requirements.lock requirements-dev.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

run: $(VENV)/.installed
	$(BIN)/buckthorndeal-local --data_directory=var

check: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m tests.parallel

$(VENV)/.bench: $(VENV)/.installed requirements-bench.lock
	$(BIN)/pip install --quiet -r requirements-bench.lock
	touch $@

bench: $(VENV)/.bench
	$(BIN)/buckthorndeal-bench all

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) var

PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STEPS ?= 2000
SEED ?= 1
SEEDS ?= 1-50
WORKERS ?= auto

.PHONY: demo test check fuzz soak crowds clean

$(VENV)/.installed: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

# Tests that conftest.py marks as serial run alone, after all others. Both calls run, also if the first
# fails.
test: $(VENV)/.installed
	@failed=0; \
	$(BIN)/python -m pytest -n $(WORKERS) -m "not serial" || failed=1; \
	$(BIN)/python -m pytest -m serial || failed=1; \
	exit $$failed

check: $(VENV)/.installed
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check .

demo: $(VENV)/.installed
	$(BIN)/python -m fireflyferry.experiments.demo

fuzz: $(VENV)/.installed
	FIREFLYFERRY_FUZZ_STEPS=$(STEPS) $(BIN)/python -m pytest --hypothesis-seed=$(SEED) -k "machine or Machine"

soak: $(VENV)/.installed
	$(BIN)/python -m fireflyferry.platform.soak --seeds $(SEEDS)

crowds: $(VENV)/.installed
	FIREFLYFERRY_CROWD_SEEDS=$(SEEDS) $(BIN)/python -m pytest -s fireflyferry/platform/crowds/tests/test_forms.py -k drawn

clean:
	rm -rf $(VENV) build *.egg-info

PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: demo test check lint bench-quick clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(VENV)/bin/coltsfootshift-bench demo --json demo.json

test: $(STAMP)
	$(VENV)/bin/python tests/run_known_red.py

check: $(STAMP)
	$(VENV)/bin/black --check --quiet src tests platform
	$(VENV)/bin/ruff check --quiet src tests platform
	$(VENV)/bin/mypy

clean:
	rm -rf $(VENV) build results demo.json

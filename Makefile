VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: run test format explore

run: $(STAMP)
	$(VENV)/bin/greengagehaven dev

test: $(STAMP)
	$(PYTHON) tools/run_checks.py

format: $(STAMP)
	$(VENV)/bin/ruff format src features tools
	$(VENV)/bin/ruff check --fix src features tools

explore: $(STAMP)
	$(PYTHON) tools/explore.py

$(STAMP): pyproject.toml requirements.txt
	python3.11 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements.txt
	$(PYTHON) -m pip install --quiet --no-deps --editable .
	touch $(STAMP)

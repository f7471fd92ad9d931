# Set-up, checks and the two main commands of samphirestand.

VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: run test check format bench clean

run: $(STAMP)
	PYTHON=$(PYTHON) sh examples/run.sh

test: $(STAMP)
	$(PYTHON) -m pytest

check: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/flake8
	$(VENV)/bin/mypy

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench: $(STAMP)
	$(PYTHON) -m bench

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements-dev.txt
	$(VENV)/bin/pip install --quiet --no-deps -e .
	touch $@

clean:
	rm -rf $(VENV) build *.egg-info

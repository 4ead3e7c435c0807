PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python

.PHONY: setup demo test binary clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	test -x $(RUN) || $(PYTHON) -m venv $(VENV)
	$(RUN) -m pip install --quiet --require-hashes -r requirements.lock
	touch $@

demo: setup
	$(RUN) -m tools.demo

test: setup
	$(RUN) -m tools.run_tests

binary: setup
	$(RUN) -m tools.build_binary

clean:
	rm -rf dist build .mypy_cache .ruff_cache

VENV := .venv
PY := $(VENV)/bin/python
PROCESSES ?= 4

.PHONY: setup check test format
setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt
	python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements.txt
	touch $@

check: setup
	$(PY) -m black --check --quiet .
	$(PY) -m ruff check --quiet .
	$(PY) -m mypy --no-error-summary

test: check
	$(PY) -m pytest -n $(PROCESSES)

format: setup
	$(PY) -m black --quiet .
	$(PY) -m ruff check --fix --quiet .

.PHONY: demo demo-sessions faults measure soak
demo: setup
	$(PY) -m system.demo

demo-sessions: setup
	$(PY) -m system.demo_sessions

faults: setup
	$(PY) -m faults --processes $(PROCESSES)

# Real processes under series of faults; SEEDS and FIRST_SEED choose them.
SEEDS ?= 50
FIRST_SEED ?= 1
soak: setup
	$(PY) -m soak --seeds $(SEEDS) --first-seed $(FIRST_SEED)

# The same series, in which the store also returns from older copies.
.PHONY: soak-restores
soak-restores: setup
	$(PY) -m soak --restores --seeds $(SEEDS) --first-seed $(FIRST_SEED)

# The primary leaves while the coordinator is suspended, cut off from the store or killed.
.PHONY: soak-departures
soak-departures: setup
	$(PY) -m soak --departures --seeds $(SEEDS) --first-seed $(FIRST_SEED)

# Members start again, with or without their logs, alone and together with other faults.
.PHONY: soak-restarts
soak-restarts: setup
	$(PY) -m soak --restarts --seeds $(SEEDS) --first-seed $(FIRST_SEED)

# Three groups under one coordinator, with cuts between instances, members and the store.
.PHONY: soak-groups
soak-groups: setup
	$(PY) -m soak.group_plays --seeds $(SEEDS) --first-seed $(FIRST_SEED)

measure: setup
	$(PY) -m faults.measure --processes $(PROCESSES)
	$(PY) -m system.throughput

.PHONY: binary test-binary capacity
# One executable file. It unpacks itself once into $$SHIV_ROOT, then runs in the same process.
binary: setup
	mkdir -p build
	$(VENV)/bin/shiv --console-script bilberrystack --python "/usr/bin/env python3" \
	  --compressed --output-file build/bilberrystack --constraint requirements.txt .

test-binary: binary
	SHIV_ROOT=$$(mktemp -d) SYSTEM_BINARY=$(CURDIR)/build/bilberrystack $(PY) -m pytest system

capacity: setup
	$(PY) -m system.capacity

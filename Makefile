VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SOURCES := src tests standins demo bench model soak deploy

.PHONY: soak crowds all demo reference test check format model bench wheel clean

all: check test model

$(STAMP): pyproject.toml
	test -x $(BIN)/python || python3 -m venv $(VENV)
	$(BIN)/python -m pip install -q -e '.[dev]'
	touch $@

demo: $(STAMP)
	$(BIN)/python -m demo

# Half of the tests' time is waiting, so they run side by side.
test: $(STAMP)
	$(BIN)/python -m pytest -n $(or $(JOBS),4)

check: $(STAMP)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

format: $(STAMP)
	$(BIN)/ruff format $(SOURCES)

model: $(STAMP)
	$(BIN)/python -m model

reference: $(STAMP)
	$(BIN)/python -W ignore -m lentildeal._internal.config.reference > docs/reference.md
	$(BIN)/python -W ignore -m lentildeal._internal.logs.page > docs/logs.md

bench: $(STAMP)
	$(BIN)/python -m bench

# One seed, as in CI; SEED and COUNT choose others.
soak: $(STAMP)
	$(BIN)/python -m soak --seed $(or $(SEED),1) --count $(or $(COUNT),1) --kept

# Measures memory, so it runs alone and in one process.
crowds: $(STAMP)
	$(BIN)/python -m pytest -p no:xdist tests/crowds

wheel: $(STAMP)
	$(BIN)/python -m pip wheel -q --no-deps -w dist .

clean:
	rm -rf build dist

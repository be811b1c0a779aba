VENV ?= .venv
PYTHON ?= python3
EXAMPLES ?= 200
STEPS ?= 50
SEED ?=
SECONDS ?= 25
FAULTS ?=
ROUTERS ?=
REPORT ?=
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: demo test check tables measure fuzz soak clean

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m pimentoledge demo

test: $(STAMP)
	$(BIN)/python -m pytest

check: $(STAMP)
	$(BIN)/python -m pyink --quiet --check pimentoledge benches
	$(BIN)/python -m ruff check --quiet pimentoledge benches

measure: $(STAMP)
	$(BIN)/python -m benches.measure

tables: $(STAMP)
	$(BIN)/python -m pimentoledge.tables docs

# Without SEED, a fresh one; it is printed first.
fuzz: $(STAMP)
	$(BIN)/python -m pimentoledge.tests.fuzz --examples $(EXAMPLES) \
		--steps $(STEPS) $(if $(SEED),--seed $(SEED))

# Without FAULTS, all kinds.
soak: $(STAMP)
	$(BIN)/python -m pimentoledge.tests.soak --seconds $(SECONDS) \
		$(if $(SEED),--seed $(SEED)) $(if $(FAULTS),--faults $(FAULTS)) \
		$(if $(ROUTERS),--routers $(ROUTERS)) \
		$(if $(REPORT),--report $(REPORT))

clean:
	rm -rf $(VENV) build results *.egg-info

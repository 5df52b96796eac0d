VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
PACKAGES = packages/auburnhollow packages/auburnhollow-node packages/auburnhollow-operator platform standins

.PHONY: setup test demo soak bench format lint check-capacity

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock $(addsuffix /pyproject.toml,$(PACKAGES))
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation \
		$(addprefix -e ,$(PACKAGES))
	touch $@

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: lint
	$(BIN)/python -m pytest --known-red=KNOWN-RED.txt

demo: setup
	$(BIN)/python -m auburnhollow_platform_standin.demo
	$(BIN)/python -m auburnhollow_standins.demo $(if $(KEEP),--keep)

bench: setup
	$(BIN)/python -m bench short

soak: setup
	$(BIN)/python -m auburnhollow_platform_standin.soak --seeds 5

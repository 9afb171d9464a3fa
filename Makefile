# Front of the CMake build. `make run` and `make check` set everything up.
BUILD ?= build

.PHONY: instructions mutants deps build run check test lint format bench slopes docs clean

deps:
	scripts/install_packages.sh

build: deps
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
	cmake --build $(BUILD)

run: build
	scripts/run_example.sh $(BUILD)

test: build
	scripts/run_tests.sh $(BUILD)

lint: build
	scripts/lint.sh $(BUILD)

format:
	clang-format -i $$(scripts/source_files.sh)

bench: build
	$(BUILD)/savorybench

slopes: build
	python3 bench/slopes.py $(BUILD)
	python3 bench/capacity.py

docs: build
	$(BUILD)/savoryflow settings > docs/SETTINGS.md
	$(BUILD)/savoryflow events > docs/EVENTS.md

check: lint test

clean:
	rm -rf $(BUILD) run

mutants: build
	scripts/mutants.sh

instructions: build
	scripts/instructions.sh $(BUILD)

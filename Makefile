BUILD ?= build
CMAKE_FLAGS ?=
# Half of the cores, since a compilation with Boost.Asio coroutines takes up to 1 GiB.
JOBS ?= $(shell n=$$(nproc); echo $$(( n > 3 ? n - 2 : 1 )))

.PHONY: all setup build test demo soak upstream-fuzz fuzz bench bench-capacity format format-check lint package-check clean

all: build

setup:
	tools/install-packages

build: setup
	cmake -S . -B $(BUILD) -G Ninja $(CMAKE_FLAGS)
	cmake --build $(BUILD) -j $(JOBS)

# Tests with a "red:" line in KNOWN-RED.txt run first, and their failure is printed but does not fail the target.
KNOWN_RED := $(shell sed -n 's/^red: *\([^ ]*\).*/\1/p' KNOWN-RED.txt | paste -sd '|')

test: build
ifneq ($(KNOWN_RED),)
	@sed -n 's/^red:/known red, not judged:/p' KNOWN-RED.txt
	-ctest --test-dir $(BUILD) --output-on-failure --no-tests=error -R '^($(KNOWN_RED))$$'
	ctest --test-dir $(BUILD) --output-on-failure --no-tests=error -j 2 -E '^($(KNOWN_RED))$$'
else
	ctest --test-dir $(BUILD) --output-on-failure --no-tests=error -j 2
endif

demo: build
	testsuite/demo.py --bin $(BUILD)/bin

# A seed that is not given is the time, so that each run is another.
SEED ?= $(shell date +%s)
MINUTES ?= 3

soak: build
	testsuite/soak --bin $(BUILD)/bin --seed $(SEED) --minutes $(MINUTES)

# Upstream responses of any form, by hand: make upstream-fuzz SEEDS=1-50
SEEDS ?= 1-50

upstream-fuzz: build
	testsuite/upstream-fuzz --bin $(BUILD)/bin --seeds $(SEEDS)

# Coverage-guided fuzzers of the decoders. An input that breaks one is left in build-fuzz/ and belongs into the corpus.
FUZZ_SECONDS ?= 60

fuzz: setup
	cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DBULRUSH_FUZZ=ON -DBULRUSH_TESTS=OFF
	cmake --build build-fuzz -j $(JOBS) --target fuzzers
	tools/run-fuzzers build-fuzz $(FUZZ_SECONDS)

bench: build
	testsuite/bench.py --bin $(BUILD)/bin --part latency --part throughput --part saturation --part memory

bench-capacity: build
	testsuite/bench.py --bin $(BUILD)/bin --part peers --part upstreams --part configuration --part propagation

format:
	git ls-files '*.cpp' '*.h' | xargs clang-format -i

format-check:
	git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run --Werror

lint: build
	tools/lint $(BUILD)

package-check:
	tools/check-package-order
	tools/check-wall-clock

clean:
	rm -rf build build-*

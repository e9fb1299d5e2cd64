# Common commands for development and acceptance; CMake does the build.
BUILD := build
PACKAGES := cmake g++ make ninja-build ccache clang-format clang-tidy \
  libboost1.81-dev libboost-program-options1.81-dev libnghttp2-dev \
  prometheus-cpp-dev liblog4cxx-dev doctest-dev libyaml-cpp-dev \
  nlohmann-json3-dev libxxhash-dev libssl-dev clang libclang-rt-14-dev

.PHONY: all packages build test soak process-test demo lint format policy bench sanitize fuzz clean

all: build

# Installs the packages that are missing.
packages:
	@missing=""; for p in $(PACKAGES); do \
	  dpkg -s $$p >/dev/null 2>&1 || missing="$$missing $$p"; done; \
	if [ -n "$$missing" ]; then apt-get update -qq && \
	  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $$missing; fi

build: packages
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD)

# Runs the soak test: injects seeded faults around separate entry processes.
# Prints each violated guarantee and the command that repeats the run.
SEED ?= 1
SECONDS ?= 20
INSTANCES ?= 6
UPSTREAMS ?= 8
CALLERS ?= 24
soak: build
	@$(BUILD)/hibiscusnotch_soak --binary $(BUILD)/hibiscusnotch \
	  --seed $(SEED) --seconds $(SECONDS) --instances $(INSTANCES) \
	  --upstreams $(UPSTREAMS) --callers $(CALLERS)

demo: build
	@$(BUILD)/hibiscusnotch demo

test: build
	@ctest --test-dir $(BUILD) -j 6 --output-on-failure

# Replays a trace against separate processes: one is killed, one is stopped for a
# while, and one is replaced.
process-test: build
	@scripts/process_test.sh

sanitize: packages
	@cmake -S . -B $(BUILD)-sanitize -G Ninja -DHIBISCUSNOTCH_SANITIZE=ON \
	  -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1" >/dev/null
	@cmake --build $(BUILD)-sanitize
	@ctest --test-dir $(BUILD)-sanitize -j 6 --output-on-failure

# Runs each fuzzer on a fixed number of inputs with a fixed seed. Built without
# debug information, which clang 14 fails to emit for the coroutines here.
FUZZ_RUNS ?= 100000
FUZZERS := message_codec_fuzzer sse_reader_fuzzer settings_fuzzer \
  claim_bucket_fuzzer http_reader_fuzzer peer_message_fuzzer headers_fuzzer \
  mirror_fuzzer store_response_fuzzer

fuzz: packages
	@cmake -S . -B $(BUILD)-fuzz -G Ninja -DHIBISCUSNOTCH_FUZZ=ON \
	  -DCMAKE_BUILD_TYPE=Release \
	  -DCMAKE_CXX_COMPILER=clang++ -DBUILD_TESTING=OFF >/dev/null
	@cmake --build $(BUILD)-fuzz --target $(FUZZERS)
	@for f in $(FUZZERS); do \
	  $(BUILD)-fuzz/fuzzers/$$f -runs=$(FUZZ_RUNS) -seed=1 -max_len=4096 \
	    >$(BUILD)-fuzz/$$f.log 2>&1 || { tail -20 $(BUILD)-fuzz/$$f.log; exit 1; }; \
	  echo "$$f: $(FUZZ_RUNS) inputs, no finding"; done

SOURCES = $(shell git ls-files '*.cpp' '*.hpp')

format:
	@clang-format -i $(SOURCES)

lint: build
	@clang-format --dry-run --Werror $(SOURCES)
	@scripts/check_platform_names.sh
	@git ls-files 'src/*.cpp' 'platform/*.cpp' | grep -v -E '_fuzzer|_benchmark' | \
	  xargs -P 6 -n 4 clang-tidy -p $(BUILD) --quiet \
	    --extra-arg=-Wno-unknown-warning-option

# Compares the balancing policies over 20 seeds; writes build/policy-*.json.
policy: build
	@scripts/policy.sh

# Prints the scaling figures that docs/CAPACITY.md cites.
bench: build
	@$(BUILD)/benchmarks/decisions_benchmark
	@$(BUILD)/benchmarks/fleet_benchmark
	@$(BUILD)/benchmarks/latency_benchmark

clean:
	@rm -rf $(BUILD) $(BUILD)-sanitize $(BUILD)-fuzz

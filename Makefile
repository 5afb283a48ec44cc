# Tasks for people; the build itself is CMake's.
CONFIG ?= config.json
PROPERTIES ?= deploy/burlfall.properties
JOBS ?= 4

# The commit whose decisions `make bench` measures beside these, in the same run.
BEFORE ?= d77f386

.PHONY: demo build test sanitize bench council fleet-start members lint format run clean

# Two balancers, twelve nodes, discovery and clients on loopback for 20 s; a node falls silent, a balancer dies.
demo:
	.ci/setup tools
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DBURLFALL_TOOLS=ON
	cmake --build build -j$(JOBS)
	build/burlfall lab run demo --out demo-results

build:
	.ci/setup serve
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j$(JOBS)

test:
	.ci/setup test
	cmake -B build-test -DCMAKE_BUILD_TYPE=Release -DBURLFALL_TESTS=ON -DBURLFALL_WERROR=ON
	cmake --build build-test -j$(JOBS)
	ctest --test-dir build-test --output-on-failure

sanitize:
	.ci/setup test
	cmake -B build-san -DCMAKE_BUILD_TYPE=RelWithDebInfo -DBURLFALL_TESTS=ON -DBURLFALL_SANITIZE=ON
	cmake --build build-san -j$(JOBS)
	ctest --test-dir build-san --output-on-failure

bench:
	.ci/setup bench
	rm -rf build-bench/before && mkdir -p build-bench/before
	git archive $(BEFORE) src include | tar -x -C build-bench/before
	cmake -B build-bench -DCMAKE_BUILD_TYPE=Release -DBURLFALL_BENCH=ON -DBURLFALL_BENCH_BEFORE=$(CURDIR)/build-bench/before
	cmake --build build-bench -j$(JOBS) --target burlfall_bench
	build-bench/bench/burlfall_bench $(BENCH_FLAGS)

# Starts of 300 balancers, real processes all, with and without what src/start does: about seven minutes.
fleet-start:
	.ci/setup tools
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DBURLFALL_TOOLS=ON
	cmake --build build -j$(JOBS)
	build/burlfall lab fleet run fleet-cold --subject before --plain-start --out fleet-results || true
	build/burlfall lab fleet run fleet-cold fleet-outage-10 fleet-outage-20 fleet-outage-60 fleet-saved --subject paced \
		--out fleet-results

# Clusters of up to 200 real processes, faults between them: about five minutes.
members:
	.ci/setup tools
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DBURLFALL_TOOLS=ON
	cmake --build build -j$(JOBS)
	build/burlfall lab members run steady killed-one killed-fifth cut-deaf cut-mute halves-1 --out members-results.json

# Councils of real processes, 1,000 faults in each of 3 and 5 voters with members that follow: about two hours.
council:
	.ci/setup tools
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DBURLFALL_TOOLS=ON
	cmake --build build -j$(JOBS)
	build/burlfall lab council run --voters 3 --members 3 --rounds 1000 --proposals-for 10 --out council-3.json
	build/burlfall lab council run --voters 5 --members 30 --rounds 1000 --proposals-for 10 --out council-5.json

lint:
	.ci/lint

format:
	clang-format -i $$(git ls-files '*.cpp' '*.h')

run: build
	PROXY_CONFIG=$(CONFIG) exec build/burlfall serve --config $(PROPERTIES)

clean:
	rm -rf build build-test build-san build-bench demo-results fleet-results

# Debian packages that the build needs are listed in packages.txt, so that CI
# and a new machine install the same set.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all install-deps build test demo lint format generate clean

all: build

install-deps:
	@dpkg -s $$(cat packages.txt) >/dev/null 2>&1 || \
	  (apt-get update -q && \
	   DEBIAN_FRONTEND=noninteractive apt-get install -y -q $$(cat packages.txt))

build: install-deps
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@cd $(BUILD) && ctest --output-on-failure -j 4

demo: build
	@bash demo/run.sh $(BUILD)

lint: install-deps
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@bash .ci/lint $(BUILD)

format:
	@git ls-files '*.h' '*.cpp' | grep -v gen-cpp | xargs clang-format -i

# Needs the package thrift-compiler; the result is committed.
generate:
	thrift --gen cpp:no_skeleton,moveable_types -out src/peer/gen-cpp src/peer/peer.thrift

clean:
	rm -rf $(BUILD)

# To get started, run "make demo" and "make test".

GO ?= go
PACKAGES ?= ./...
# The number of packages tested in parallel.
PARALLEL ?= 6
# The time after which the tests of one package count as hung. It is long, so that the
# verdict doesn't depend on the load of the machine.
TEST_TIMEOUT ?= 30m
# The race detector requires a C compiler and is disabled if none is found.
RACE ?= $(shell command -v $${CC:-cc} >/dev/null 2>&1 && echo -race)

LINT_VERSION = 2.15.0
LINT = $(shell $(GO) env GOPATH)/bin/golangci-lint
# To rename an identifier: gopls rename -w FILE:LINE:COLUMN NAME.
GOPLS_VERSION = 0.23.0

.PHONY: all build test test-race test-full bench capacity demo load matrix lint gopls fmt fmt-check vet clean

all: build

build:
	$(GO) build -o bin/ ./cmd/...

vet:
	$(GO) vet $(PACKAGES)

# The parts of the tests. Each runs whatever the result of the others.
TEST_PARTS = test-race test-full

test: vet
	@status=0; \
	for part in $(TEST_PARTS); do \
		echo "== $$part begins"; \
		if $(MAKE) --no-print-directory $$part; then echo "== $$part passed"; \
		else echo "== $$part failed"; status=1; fi; \
	done; \
	exit $$status

# The race detector is slow, so only a part of the fault matrix and of the simulated
# rollouts runs with it. test-full runs all of them without it.
test-race:
	$(GO) test $(RACE) -count=1 -timeout $(TEST_TIMEOUT) -p $(PARALLEL) $(PACKAGES)

test-full:
	$(GO) test -count=1 -timeout $(TEST_TIMEOUT) ./internal/prover ./internal/promoter

# Compares the policies, see docs/MEASUREMENTS.md.
bench: build
	bin/dotterelhollow-bench $(BENCH_FLAGS)

# Measures the resources that a node needs by size, see docs/CAPACITY.md.
capacity: build
	bin/dotterelhollow-gauge $(GAUGE_FLAGS)

# Injects every fault at every step, see docs/FAULTS.md.
matrix:
	$(GO) test -count=1 -v -run '^TestMatrix|^TestControls|^TestSameStory' ./internal/prover -table

demo: build
	scripts/demo.sh

# Sends load to running nodes and checks every answer, see docs/LOAD.md.
load: build
	scripts/load.sh $(LOAD_FLAGS)

lint:
	@"$(LINT)" version --short 2>/dev/null | grep -qx "$(LINT_VERSION)" || \
		$(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v$(LINT_VERSION)
	"$(LINT)" run $(PACKAGES)

gopls:
	$(GO) install golang.org/x/tools/gopls@v$(GOPLS_VERSION)

fmt:
	gofmt -w $(shell git ls-files '*.go')

fmt-check:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi

clean:
	rm -rf bin

# The project's commands. A newcomer needs "make demo" and "make test".

GO ?= go
PACKAGES ?= ./...
# Packages tested at once.
PARALLEL ?= 6
# The race detector needs a C compiler; without one the tests run without it.
RACE ?= $(shell command -v $${CC:-cc} >/dev/null 2>&1 && echo -race)

LINT_VERSION = 2.15.0
LINT = $(shell $(GO) env GOPATH)/bin/golangci-lint
# Renames identifiers: gopls rename -w FILE:LINE:COLUMN NAME.
GOPLS_VERSION = 0.23.0

.PHONY: all build test bench capacity demo load matrix lint gopls fmt fmt-check vet clean

all: build

build:
	$(GO) build -o bin/ ./cmd/...

vet:
	$(GO) vet $(PACKAGES)

# Under the race detector only a part of the fault matrix runs. The second line runs
# all of it, and all simulated clusters of rollouts.
test: vet
	$(GO) test $(RACE) -count=1 -p $(PARALLEL) $(PACKAGES)
	$(GO) test -count=1 ./internal/prover ./internal/promoter

# The policies compared, see docs/MEASUREMENTS.md.
bench: build
	bin/dotterelhollow-bench $(BENCH_FLAGS)

# What a node costs by size, see docs/CAPACITY.md.
capacity: build
	bin/dotterelhollow-gauge $(GAUGE_FLAGS)

# Every fault at every step, see docs/FAULTS.md.
matrix:
	$(GO) test -count=1 -v -run '^TestMatrix|^TestControls|^TestSameStory' ./internal/prover -table

demo: build
	scripts/demo.sh

# Load on running nodes, every answer checked, see docs/LOAD.md.
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

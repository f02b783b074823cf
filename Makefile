# Every target works on a fresh machine with Go; model also needs spin.
GO ?= go

.PHONY: build capacity capacity-doc test lint demo serve examples bench faults faults-doc model profile soak

build:
	$(GO) build -o bin/ ./cmd/...

# The names of the tests in KNOWN-RED.txt, as a pattern for go test -skip.
KNOWN_RED = $(shell grep -v '^\#' KNOWN-RED.txt | cut -d'|' -f1 | xargs | tr ' ' '|')

test:
	@grep -v '^#' KNOWN-RED.txt | sed 's/^/known red, passed over: /' || true
	$(GO) vet ./...
	$(GO) test -race -count=1 -timeout 300s $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./...

lint:
	@files=$$(gofmt -l $$(git ls-files '*.go')); test -z "$$files" || { echo "not gofmt'd: $$files"; exit 1; }
	cd lint && $(GO) build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck
	bin/staticcheck -tags faults ./...

# Regenerates docs/FAULTS.md from the markers in the tests.
faults-doc:
	$(GO) run ./internal/tools/faultmatrix > docs/FAULTS.md.new
	mv docs/FAULTS.md.new docs/FAULTS.md

# Writes heap profiles of both daemons at startup and under load, and a CPU
# profile of an entry node, to bin/profile.
profile:
	@mkdir -p bin/profile
	GODEBUG=memprofilerate=1 WIGEON_PROFILE_FOLDER=$(CURDIR)/bin/profile $(GO) test -tags profile -count=1 -run TestProfileHeap -v ./platform
	WIGEON_PROFILE_FOLDER=$(CURDIR)/bin/profile $(GO) test -tags profile -count=1 -run TestProfileCPU -v ./platform

# Checks the specifications in model/, and that removing any safety rule violates
# them.
model:
	model/run.sh

# Measures the policies and compares them; see docs/design/BENCH.md.
bench:
	@mkdir -p bin
	$(GO) run ./cmd/wigeon-load bench --lines bin/bench.jsonl --plot bin/bench.svg

# Runs the whole system on loopback under load and restarts an entry node.
demo:
	scripts/demo.sh

# Runs the same system until Ctrl-C.
serve:
	scripts/demo.sh serve

# Regenerates the example settings and tickets.
examples:
	$(GO) run ./internal/tools/examples

# Kills, pauses and isolates real processes on loopback and checks the histories
# of their answers. Limited to 4 minutes.
faults: build
	$(GO) vet -tags faults ./tests/faults
	$(GO) test -tags faults -count=1 -timeout 240s ./tests/faults

# Runs real processes under random faults with 50 seeds. FIRST is the first seed,
# by default the current time, so that each run uses new seeds.
FIRST ?= $(shell date +%s)
soak:
	$(GO) test -count=1 -timeout 60m -parallel 3 -v ./platform/soak -args -seeds 50 -first $(FIRST)

# Prints the calculation in docs/CAPACITY.md; capacity-doc updates that page.
capacity:
	@$(GO) run ./internal/tools/capacity

capacity-doc:
	$(GO) run ./internal/tools/capacity --write docs/CAPACITY.md

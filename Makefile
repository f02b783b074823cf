# Every target works on a fresh machine with Go; model also needs spin.
GO ?= go

.PHONY: build test lint demo bench faults faults-doc model

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) vet ./...
	$(GO) test -race -count=1 -timeout 300s ./...

lint:
	@files=$$(gofmt -l $$(git ls-files '*.go')); test -z "$$files" || { echo "not gofmt'd: $$files"; exit 1; }
	cd lint && $(GO) build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck
	bin/staticcheck ./...

# Writes the fault matrix anew from the markers in the tests.
faults-doc:
	$(GO) run ./internal/tools/faultmatrix > docs/FAULTS.md.new
	mv docs/FAULTS.md.new docs/FAULTS.md

# Checks the specifications in model/ and that each safety rule is needed.
model:
	model/run.sh

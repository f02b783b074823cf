# Every target works on a fresh machine with Go; model also needs spin.
GO ?= go

.PHONY: build test lint demo bench

build:
	$(GO) build -o bin/ ./cmd/...

test:
	$(GO) vet ./...
	$(GO) test -race -count=1 -timeout 300s ./...

lint:
	@files=$$(gofmt -l $$(git ls-files '*.go')); test -z "$$files" || { echo "not gofmt'd: $$files"; exit 1; }
	cd lint && $(GO) build -o ../bin/staticcheck honnef.co/go/tools/cmd/staticcheck
	bin/staticcheck ./...

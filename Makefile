# What one does with oxbowslip. Each target is one command to read.
.PHONY: all build test lint format fuzz demo bench capacity docs-check ci

all: build lint test

build: ; go build ./...

test: ; go test -race ./...

lint: ; go vet ./... && go tool staticcheck ./...

format: ; go tool gofumpt -w .

demo: ; go run ./cmd/oxbowslip-demo --seconds 10

ci: ; bash .ci/run

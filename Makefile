# What one does with oxbowslip. Each target is one command to read.
.PHONY: all build front test lint format random fuzz soak mutations demo bench replay traces capacity ci

all: build lint test

build: ; go build ./...

# The daemon for the users' platform, as deploy/system.toml builds it.
front: ; go build -ldflags=-linkmode=external -o target/ ./platform/oxbowslip-front

test: ; go test -race ./...

lint: ; go vet ./... && go tool staticcheck ./...

format: ; go tool gofumpt -w .

demo: ; go run ./cmd/oxbowslip-demo --seconds 10

# The long random runs; CI takes a hundred schedules of each.
random:
	go test ./internal/proof/replay -run Random -rapid.checks=10000
	go test ./internal/daemon/schedule -run 'Handover|Shares' -rapid.checks=20000
	go test ./internal/request -run Promises -rapid.checks=50000

fuzz:
	go test -run none -fuzz '^FuzzDecode$$' -fuzztime 60s ./internal/settings
	go test -run none -fuzz '^FuzzDecodeChat$$' -fuzztime 60s ./internal/daemon/api
	go test -run none -fuzz '^FuzzEventStream$$' -fuzztime 60s ./internal/daemon/api
	go test -run none -fuzz '^FuzzArrived$$' -fuzztime 60s ./internal/front
	go test -run none -fuzz '^FuzzCalls$$' -fuzztime 60s ./internal/front/gossip
	go test -run none -fuzz '^FuzzReadAnswer$$' -fuzztime 60s ./internal/httphead
	go test -run none -fuzz '^FuzzAnswer$$' -fuzztime 60s ./internal/front/upstream
	go test -run none -fuzz '^FuzzClient$$' -fuzztime 60s ./internal/intake
	go test -run none -fuzz '^FuzzReceived$$' -fuzztime 60s ./internal/front/poison
	go test -run none -fuzz '^FuzzParseLimit$$' -fuzztime 60s ./internal/front/pushback
	go test -run none -fuzz '^FuzzDecodeSettings$$' -fuzztime 60s ./platform
	go test -run none -fuzz '^FuzzRows$$' -fuzztime 60s ./platform
	go test -run none -fuzz '^FuzzRead$$' -fuzztime 60s ./platform

# Random days against real daemons on loopback, with faults from outside. CI plays one.
soak: ; go test ./platform/proof/soak -count=1 -timeout 60m -soak.seed 1 -soak.seeds 50

# Promises switched off in the product, which the soak must find.
mutations: ; go test ./platform/proof/soak -count=1 -timeout 30m -run Mutations -v -soak.mutations

# The traces of all descriptions under the daemons' policy and the baselines.
replay: ; go run ./cmd/oxbowslip-replay run --summary --policy all traces/*.json

# Generate the two traces that are kept as examples of the format.
traces:
	for name in engine-slow engines-crash-in-turn; do \
	  go run ./cmd/oxbowslip-replay generate traces/$$name.json --out traces/$$name.jsonl || exit 1; done

bench: ; go test ./internal/daemon -run none -bench . -benchtime 3x

# The slopes of docs/CAPACITY.md.
capacity:
	go test ./internal/daemon/schedule ./internal/daemon/change ./internal/daemon/membership -run none -bench . -benchtime 1s
	go test ./internal/daemon/peer -run WireBytes -v
	go test ./internal/front/gossip -run HeartbeatBytes -v
	go test ./internal/daemon -run RelayAllocations -v

ci: ; bash .ci/run

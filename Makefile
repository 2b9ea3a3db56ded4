GO ?= go
SPIN ?= spin
GOLANGCI ?= golangci-lint

.PHONY: build demo test fmt lint unit race spec bench soak

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	./bin/rhubarbrudder demo

# test runs everything that CI runs.
test: lint build race spec unit

fmt:
	$(GOLANGCI) fmt

lint:
	$(GOLANGCI) fmt --diff
	$(GOLANGCI) run ./...
	$(GO) vet ./...

# unit runs every test; failures listed in KNOWN-RED.txt are printed and passed over.
unit: build
	$(GO) test -count=1 -json -timeout 15m -p 4 ./... | ./bin/verdict KNOWN-RED.txt

# race runs the packages whose tests are concurrent with the race detector.
RACE = ./internal/tablestore ./internal/lease ./internal/job ./internal/dispatcher ./internal/steward \
	./internal/endpoint ./internal/router ./internal/organisation ./internal/document ./internal/fleet \
	./internal/batch ./internal/pool ./internal/store ./internal/inventory ./internal/forward ./internal/roster ./internal/route \
	./internal/peer ./internal/gateway ./internal/controller ./internal/call ./internal/queue ./internal/request
race: build
	$(GO) test -race -short -json -timeout 15m $(RACE) | ./bin/verdict KNOWN-RED.txt

# spec model-checks the core protocols and their mutants.
spec:
	@if [ -f spec/check.sh ]; then SPIN=$(SPIN) sh spec/check.sh; fi

# bench prints ratios measured in one run; it is not part of test.
bench: build
	$(GO) test -run xxx -bench . -benchtime 1s ./...
	./bin/loadtest harm
	./bin/loadtest routing

# soak plays fresh seeds of overlapping faults against real processes: make soak FROM=100 SEEDS=50 VMS=5
FROM ?= 100
SEEDS ?= 10
VMS ?= 5
soak:
	$(GO) test -count=1 -timeout 2h ./test/platform -run TestSoak -v -soak.from $(FROM) -soak.seeds $(SEEDS) -soak.vms $(VMS)

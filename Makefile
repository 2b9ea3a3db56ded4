GO ?= go
SPIN ?= spin
GOLANGCI ?= golangci-lint

.PHONY: build demo test fmt lint unit race spec bench soak

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	./bin/rhubarbrudder demo

# test runs all checks that CI runs.
test: lint build race spec unit

fmt:
	$(GOLANGCI) fmt

lint:
	$(GOLANGCI) fmt --diff
	$(GOLANGCI) run ./...
	$(GO) vet ./...

# unit runs all tests. Failures listed in KNOWN-RED.txt are printed and do not fail the target.
unit: build
	$(GO) test -count=1 -json -timeout 15m -p 4 ./... | ./bin/verdict KNOWN-RED.txt

# race runs the packages with concurrent tests under the race detector. Failures are treated as in unit.
RACE = ./internal/tablestore ./internal/lease ./internal/job ./internal/dispatcher ./internal/steward \
	./internal/endpoint ./internal/router ./internal/organisation ./internal/document ./internal/fleet \
	./internal/batch ./internal/pool ./internal/store ./internal/inventory ./internal/forward ./internal/roster ./internal/route \
	./internal/peer ./internal/gateway ./internal/controller ./internal/call ./internal/queue ./internal/request \
	./internal/allowance ./internal/memory ./internal/vm ./internal/transport
race: build
	$(GO) test -race -short -json -timeout 15m $(RACE) | ./bin/verdict KNOWN-RED.txt

# spec checks the models of the core protocols, and that each mutant of them is caught. It needs spin and gcc.
spec:
	@if [ -f spec/check.sh ]; then SPIN=$(SPIN) sh spec/check.sh; fi

# bench runs the benchmarks and the load comparisons, which print ratios within one run. It is not part of test.
bench: build
	$(GO) test -run xxx -bench . -benchtime 1s ./...
	./bin/loadtest harm
	./bin/loadtest routing

# soak injects overlapping faults into real processes, with SEEDS consecutive seeds from FROM on VMS VMs, for example:
# make soak FROM=100 SEEDS=50 VMS=5
FROM ?= 100
SEEDS ?= 10
VMS ?= 5
soak:
	$(GO) test -count=1 -timeout 2h ./test/platform -run TestSoak -v -soak.from $(FROM) -soak.seeds $(SEEDS) -soak.vms $(VMS)

# build, test, lint, run. .ci/run does what lint, build and test do, with the test command of README.md.

.PHONY: all build test race fuzz lint run clean proof-solve proof-sparql proof-rollout proof-judge proof-owner proof-owner-virtual proof-store proof-upgrade soak sparql same-decisions

all: lint build test

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -count=1 ./...

race:
	go test -race -count=1 ./...

# Each fuzz target for a short while, beyond the fixed seeds that the tests run.
fuzz:
	go test -run '^$$' -fuzz 'FuzzRules$$' -fuzztime 10s ./choice
	go test -run '^$$' -fuzz FuzzGossipMessages -fuzztime 10s ./choice
	go test -run '^$$' -fuzz FuzzRulesWithPlans -fuzztime 10s ./choice
	go test -run '^$$' -fuzz FuzzCheckedProblemsAreSolved -fuzztime 10s ./internal/solve
	go test -run '^$$' -fuzz FuzzMessages -fuzztime 10s ./internal/client
	go test -run '^$$' -fuzz FuzzAnswers -fuzztime 10s ./internal/engine
	go test -run '^$$' -fuzz FuzzParse -fuzztime 10s ./internal/sparql/syntax
	go test -run '^$$' -fuzz FuzzReaders -fuzztime 10s ./internal/sparql/results
	go test -run '^$$' -fuzz FuzzCommands -fuzztime 10s ./internal/engine
	go test -run '^$$' -fuzz FuzzParse -fuzztime 10s ./internal/discovery
	go test -run '^$$' -fuzz FuzzOrders -fuzztime 10s ./internal/change
	go test -run '^$$' -fuzz FuzzGroup -fuzztime 10s ./internal/statement
	go test -run '^$$' -fuzz FuzzAssignments -fuzztime 10s ./internal/assignment

lint:
	scripts/lint

# The example: fake engines and feed, the controller, a job served, one throttled, an engine lost.
run: build
	go run ./example demo

# Proofs: each prints its table and ends with 1 where a figure fails.
proof-solve: build
	go run ./internal/proof/solve

proof-sparql: build
	go run ./internal/proof/sparql

proof-rollout: build
	go run ./internal/proof/rollout

proof-owner: build
	go run ./internal/proof/owner

proof-owner-virtual: build
	go run ./internal/proof/owner -only virtual

proof-store:
	go run ./internal/proof/store

# From the program at an earlier commit, which it builds from a worktree of its own, to the present one and back.
proof-upgrade:
	go run ./internal/proof/upgrade

# Real controllers and engines on loopback, with faults that overlap, judged by the invariants; for example
# make soak SOAK="-seed 7 -seeds 10 -length 60s". Needs about two cores and 500 MB for its 25 processes.
soak:
	go run ./internal/proof/soak $(SOAK)

proof-judge:
	go run ./internal/proof/rollout -only virtual

# Two runs of `lbsim score --quick` that the bench recorded, before and after a change of form alone: equal but for CPU time.
# BEFORE and AFTER are identifiers of entries in journal/, several of them in the same order.
same-decisions:
	go run ./scripts/samedecisions -before "$(BEFORE)" -after "$(AFTER)"

# The SPARQL example, until interrupted; it says how to ask.
sparql: build
	go run ./example sparql

clean:
	rm -rf bin

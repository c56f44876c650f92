GOLANGCI_VERSION := v2.15.0
TOOLS := $(CURDIR)/.tools
LINT := $(TOOLS)/golangci-lint-$(GOLANGCI_VERSION)

.PHONY: help build test race fuzz bench load fmt lint generate demo clean

help: ## list the targets
	@grep -hE '^[a-z]+:.*## ' $(MAKEFILE_LIST) | awk -F ':.*## ' '{printf "%-10s %s\n", $$1, $$2}'

build: ## build the binaries into bin/
	go build -o bin/ ./cmd/...

test: build ## run all tests; only failures listed in KNOWN-RED.txt are tolerated
	go run ./tools/knownred -- -count=1 -timeout=20m ./...

race: ## run the tests of packages that start no processes under the race detector
	go test -race -count=1 ./pkg/... ./internal/modules/... ./internal/state/... ./internal/services/... ./internal/web/...

soak: ## run the real program under random faults for some minutes; SEEDS is the number of seeds, FIRST the first seed
	go test ./platform/soak -count=1 -v -timeout=60m -parallel=6 -soak-seeds=$(or $(SEEDS),50) \
		-soak-first=$(or $(FIRST),$(shell date +%s))

fuzz: ## fuzz the bundle parser and the fold of the config stream for 20 s each
	go test -fuzz=FuzzParse -fuzztime=20s ./pkg/bundle
	go test -fuzz=FuzzFold -fuzztime=20s ./internal/state/accept

bench: ## run the Go benchmarks of the internal packages
	go test -run='^$$' -bench=. -benchmem -count=6 ./internal/...

load: build ## measure the request path; see docs/BENCH.md
	./bin/ibistand load

fmt: $(LINT) ## format the code
	$(LINT) fmt

lint: $(LINT) ## run the linters and check the format
	$(LINT) fmt --diff
	$(LINT) run ./...

generate: ## regenerate code; needs protoc, protoc-gen-go and protoc-gen-twirp
	for d in wire jobpb; do (cd internal/modules/$$d && protoc --go_out=. --go_opt=paths=source_relative \
		--twirp_out=. --twirp_opt=paths=source_relative *.proto) || exit 1; done

demo: build ## run a complete system on loopback; KEEP=1 keeps it running
	./bin/ibistand demo $(if $(KEEP),--keep)

clean: ## remove build output and tools
	rm -rf bin .tools

$(LINT):
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv $(TOOLS)/golangci-lint $(LINT)

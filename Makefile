# Every target uses the Go toolchain and the tools pinned in go.mod.
export CGO_ENABLED = 1
export GOFLAGS = -buildvcs=false

.PHONY: all setup build demo check format lint test bench fuzz clean

all: build

setup:
	go mod download
	go build -o bin/ ./...

build:
	go build -o bin/ ./...

demo:
	go run . demo

check: lint build test

format:
	go tool gofumpt -w .

lint:
	@unformatted="$$(go tool gofumpt -l .)"; if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...

# Prints the known faults whose tests are passed over.
test:
	@if [ -s KNOWN-RED.txt ]; then echo "known red:"; cat KNOWN-RED.txt; fi
	go test -race -count=1 ./...

bench:
	go test -run '^$$' -bench . -benchmem ./...

clean:
	rm -rf bin

# Every target uses the Go toolchain and the tools pinned in go.mod.
export CGO_ENABLED = 1
export GOFLAGS = -buildvcs=false

# The checks test the programs of this tree.
unexport FOXTAILMUX_BIN

# Site files in force, which regress plays one after the other. Those of LARGE_SITES have 60 machines or more.
SITES = sites/mfat-quotes sites/tihizvok-lj further/kiskadee-pos grown/tihizvok-lj-grown further-grown/kiskadee-pos-grown \
	grown/mfat-quotes-grown demands/cotatie-quotes-grown demands/ovn-alumni-grown large/mfat-quotes-large
LARGE_SITES = large/mfat-quotes-large
HUNT_DAYS = 40
LARGE_HUNT_DAYS = 8
JOBS = 4

.PHONY: all setup build demo check regress format lint test bench fuzz clean

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

# Prints the known faults and passes over their tests or subtests, which begin the lines of KNOWN-RED.txt.
RED = $(shell sed -n 's/^\(Test[^: ]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | sed 's,/,$$/^,g; s,^,^,; s,$$,$$,' | paste -sd'|')

# Ends a package that hangs. The tests of proof play processes in real time, one after the other, and each of their waits has
# a bound of its own.
HANG = 15m

test:
	@if [ -s KNOWN-RED.txt ]; then echo "known red, passed over:"; cat KNOWN-RED.txt; fi
	go test -race -count=1 -timeout $(HANG) $(if $(RED),-skip '$(RED)') ./...

# Scores the users' deployments and hunts for broken rules on them: make regress BENCH=PROGRAM KIT=FOLDER
regress:
	@test -n "$(BENCH)" -a -n "$(KIT)" || { echo "usage: make regress BENCH=PROGRAM KIT=FOLDER"; exit 2; }
	@failed=; for s in $(SITES); do \
		days=$(HUNT_DAYS); case " $(LARGE_SITES) " in *" $$s "*) days=$(LARGE_HUNT_DAYS);; esac; \
		$(BENCH) score $(KIT)/$$s.toml --jobs $(JOBS) --why "regression" || failed="$$failed score:$$s"; \
		$(BENCH) hunt $(KIT)/$$s.toml --days $$days --jobs $(JOBS) --why "regression" || failed="$$failed hunt:$$s"; \
	done; test -z "$$failed" || { echo "failed:$$failed"; exit 1; }

bench:
	go test -run '^$$' -bench . -benchmem ./...

clean:
	rm -rf bin

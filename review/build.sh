#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases to target/review/.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
go build -buildvcs=false -o target/review/stand ./review/_stand

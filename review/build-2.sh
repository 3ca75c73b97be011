#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/7 and later cases start.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
go build -buildvcs=false -o target/review-2/stand2 ./review/_stand2

#!/bin/sh
# Builds the stand-ins of the third review's scripts.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/stand3 ./review/_stand3

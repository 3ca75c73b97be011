#!/usr/bin/env bash
# Workers are never used again after a crash, and nothing is served. See claim.txt.
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review/stand ] || { echo "run review/build.sh first"; exit 2; }
exec timeout -k 5 110 target/review/stand unused "$here"

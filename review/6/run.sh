#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
cd "$here/../.."
for program in target/foxtailmux target/review-2/stand2; do
	[ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec timeout --signal=TERM 110 target/review-2/stand2 scaled "$here/record.txt"

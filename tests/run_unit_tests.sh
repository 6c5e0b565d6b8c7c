#!/bin/sh
# Runs each Criterion program; prints its summary and, on failure, all of its output.
set -u
failed=0
for t in "$@"; do
	if out=$("$t" --jobs 4 2>&1); then
		echo "$(basename "$t"): $(echo "$out" | tail -1)"
	else
		echo "$out"
		echo "FAILED: $t"
		failed=$((failed + 1))
	fi
done
[ "$failed" -eq 0 ]

#!/bin/sh
# run_unit_tests.sh PROGRAM...: runs Criterion programs. Prints the summary line of each, or all its
# output if it fails.
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

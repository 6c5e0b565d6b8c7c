#!/bin/sh
# Runs every tests/proc_*.sh against real processes on loopback.
set -u
failed=0 passed=0
for t in tests/proc_*.sh; do
	[ -e "$t" ] || continue
	if out=$(sh "$t" 2>&1); then
		passed=$((passed + 1))
		echo "ok: $t"
	else
		failed=$((failed + 1))
		echo "$out"
		echo "FAILED: $t"
	fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]

#!/bin/sh
# run_unit_tests.sh PROGRAM...: runs Criterion programs. Prints the summary line of each, or all its
# output if it fails. Failures of cases that the first field of a line of KNOWN-RED.txt names, as in
# "tests/test_x.c case, case | ...", are printed and don't fail the run; any other does.
set -u
failed=0

# Whether all failed cases of the program's output are listed. Prints them.
all_known() {
	cases=$(echo "$2" | sed -n 's/^\[FAIL\] [^:]*::\([A-Za-z0-9_]*\).*/\1/p')
	[ -n "$cases" ] || return 1
	for c in $cases; do
		line=$(grep "^tests/$1\.c " KNOWN-RED.txt | grep -E "^[^|]*[ ,]$c(,| *\|)") || return 1
		echo "KNOWN RED: $c of $line"
	done
}

for t in "$@"; do
	name=$(basename "$t")
	if out=$("$t" --jobs 4 2>&1); then
		echo "$name: $(echo "$out" | tail -1)"
	elif all_known "$name" "$out"; then
		echo "$name: $(echo "$out" | tail -1)"
	else
		echo "$out"
		echo "FAILED: $t"
		failed=$((failed + 1))
	fi
done
[ "$failed" -eq 0 ]

#!/bin/sh
# Runs each fuzz target for SECONDS_EACH seconds, starting from its committed corpus, JOBS targets
# at a time. New inputs, failing inputs and logs go to build/fuzz/NAME; the committed corpus is not
# changed. Also needs BIN (the folder of the fuzz programs) and SEED.
set -u
failed=0
out=build/fuzz
mkdir -p "$out"

run_one() {
	name=$1
	mkdir -p "$out/$name/found"
	"$BIN/fuzz_$name" -seed="$SEED" -max_total_time="$SECONDS_EACH" -timeout=10 -max_len=8192 \
		-artifact_prefix="$out/$name/" -print_final_stats=1 -verbosity=1 \
		"$out/$name/found" "tests/fuzz/corpus/$name" >"$out/$name/log" 2>&1
	echo $? >"$out/$name/rc"
}

names=$(cd tests/fuzz/corpus && ls)
n=0
for name in $names; do
	run_one "$name" &
	n=$((n + 1))
	if [ $((n % JOBS)) -eq 0 ]; then wait; fi
done
wait
for name in $names; do
	runs=$(sed -n 's/^stat::number_of_executed_units: *//p' "$out/$name/log")
	if [ "$(cat "$out/$name/rc")" -eq 0 ]; then
		echo "fuzz_$name: $runs runs, no fault"
	else
		echo "FAILED: fuzz_$name, seed $SEED; inputs and log in $out/$name"
		grep -m 3 -e 'check failed' -e 'ERROR' -e 'runtime error' "$out/$name/log"
		failed=$((failed + 1))
	fi
done
[ "$failed" -eq 0 ]

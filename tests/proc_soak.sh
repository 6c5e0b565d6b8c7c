#!/bin/sh
# A short seeded run of the fault soak on real gateways, and each seed that ever failed.
set -eu
BIN=${BIN:-build/bin}
for seed in 1 $(sed -e 's/#.*//' tests/soak_seeds.txt); do
	"$BIN/soak" --seed "$seed" --seconds 6 --program "$BIN/chutegate" || {
		echo "proc_soak: seed $seed failed" >&2
		exit 1
	}
done

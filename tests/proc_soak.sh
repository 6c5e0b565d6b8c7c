#!/bin/sh
# A short seeded run of the fault soak on real gateways, and each seed that ever failed.
set -eu
BIN=${BIN:-build/bin}
# A fleet with hubs, which a few nodes do without.
"$BIN/soak" --seed 1 --seconds 4 --nodes 16 --program "$BIN/chutegate"
for seed in 1 $(sed -e 's/#.*//' tests/soak_seeds.txt); do
	"$BIN/soak" --seed "$seed" --seconds 6 --program "$BIN/chutegate" || {
		echo "proc_soak: seed $seed failed" >&2
		exit 1
	}
done

#!/bin/sh
# Short runs of the fault soak on real gateways with fixed seeds, among them each seed that once
# failed.
set -eu
BIN=${BIN:-build/bin}
# Large enough for hubs; fleets of a few nodes have none.
"$BIN/soak" --seed 1 --seconds 4 --nodes 16 --program "$BIN/chutegate"
for seed in 1 $(sed -e 's/#.*//' tests/soak_seeds.txt); do
	"$BIN/soak" --seed "$seed" --seconds 6 --program "$BIN/chutegate" || {
		echo "proc_soak: seed $seed failed" >&2
		exit 1
	}
done

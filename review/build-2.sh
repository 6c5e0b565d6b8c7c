#!/bin/sh
# Builds the programs of the cases from 6 on, with their stand-ins, into target/review-2. To be run after the
# build of deploy/system.toml; needs gcc only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
	[ -f "review/$number/case.c" ] || continue
	gcc -std=gnu11 -O2 -g -Wall -Wextra -pthread review/kit-2/kit.c "review/$number/case.c" -o "target/review-2/case-$number"
done

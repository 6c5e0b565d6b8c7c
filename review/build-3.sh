#!/bin/sh
# Builds the stand-ins of the cases of review 3 into target/review-3/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for n in 11 12 13 14 15; do
	if [ -f review/$n/case.c ]; then
		${CC:-gcc} -std=gnu11 -O2 -g -Wall -Wextra -pthread review/$n/case.c review/kit-3/kit.c \
			-o target/review-3/case-$n
	fi
done

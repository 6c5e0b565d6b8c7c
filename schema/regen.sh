#!/bin/sh
# Regenerates gen/ from schema/; the results are committed, so that the build needs no generator.
set -eu
cd "$(dirname "$0")/.."
mkdir -p gen
for f in schema/*.x; do
	[ -e "$f" ] || continue
	name=$(basename "$f" .x)
	rm -f "gen/$name.h" "gen/${name}_xdr.c"
	rpcgen -C -h "$f" | sed "s|^#define _.*_H_RPCGEN|#define BCT_GEN_$(echo "$name" | tr a-z A-Z)_H|; s|^#ifndef _.*_H_RPCGEN|#ifndef BCT_GEN_$(echo "$name" | tr a-z A-Z)_H|" > "gen/$name.h"
	rpcgen -C -c "$f" | sed "s|#include \".*$name.h\"|#include \"gen/$name.h\"|" > "gen/${name}_xdr.c"
done

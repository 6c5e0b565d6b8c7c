#!/bin/sh
# Regenerates gen/ and the generated pages of docs/ from schema/ and the tables in the C code.
set -eu
for f in schema/*.x; do
	[ -e "$f" ] || continue
	name=$(basename "$f" .x)
	rm -f "gen/$name.h" "gen/${name}_xdr.c"
	(cd schema && rpcgen -C -h -o "../gen/$name.h" "$name.x")
	(cd schema && rpcgen -C -c -o "../gen/${name}_xdr.c" "$name.x")
	sed -i "s|#include \"$name.h\"|#include \"gen/$name.h\"|" "gen/${name}_xdr.c"
done
make --no-print-directory build/bin/gen_settings build/bin/gen_docs build/bin/gen_configuration
build/bin/gen_settings
build/bin/gen_docs
build/bin/gen_configuration

#!/bin/sh
# Builds the stand-ins that the scripts of review/ start, into review/bin.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
PKGS="libevent_core libevent_extra jansson libsodium"
CFLAGS="-std=gnu11 -O2 -g -Wall -Wextra $(pkg-config --cflags $PKGS)"
for c in stand/*.c; do
	name=$(basename "$c" .c)
	[ "$name" = stand ] && continue
	${CC:-gcc} $CFLAGS "$c" stand/stand.c -o "bin/$name" $(pkg-config --libs $PKGS)
done

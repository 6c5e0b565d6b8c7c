#!/bin/sh
# Each program that is installed for users starts, and has a manual page that names its options.
set -eu
BIN=${BIN:-build/bin}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
make -s install DESTDIR="$out" PREFIX=/usr BUILD="$(dirname "$BIN")" >/dev/null
for name in chuted chutegate chutectl chuteload; do
	page=$out/usr/share/man/man1/$name.1
	[ -x "$out/usr/bin/$name" ] || { echo "$name is not installed"; exit 1; }
	[ -s "$page" ] || { echo "$name has no manual page"; exit 1; }
	grep -qiE "^\.(Dt|TH) $name 1" "$page" || { echo "$page is of another program"; exit 1; }
done
for option in $("$out/usr/bin/chutegate" --help | sed -n 's/.*--\([a-z-]*\).*/\1/p'); do
	case $option in help | usage) continue ;; esac
	grep -q "Fl -$option" "$out/usr/share/man/man1/chutegate.1" ||
		{ echo "the manual page of chutegate lacks --$option"; exit 1; }
done
"$out/usr/bin/chutegate" --version | grep -q . || exit 1

/*
 * make_share_older.c - writes tests/share_older_data.h. It is built in a checkout of the commit
 * whose messages are kept, not with the tests; the commands are in the comment that it writes.
 */
#include "tests/share_older.h"

#define BYTES_PER_LINE 16

static const char comment[] =
	"/*\n"
	" * share_older_data.h - messages as nodes of commit 176bfc7 send them, with the values "
	"of\n"
	" * share_older.h. Made in a checkout of that commit, into which share_older.h and\n"
	" * make_share_older.c were copied:\n"
	" *\n"
	" *   make programs\n"
	" *   gcc -I. $(pkg-config --cflags libtirpc) tests/make_share_older.c \\\n"
	" *       build/libbuckthornchute.a $(pkg-config --libs libtirpc) -o make_share_older\n"
	" *   ./make_share_older >share_older_data.h && clang-format -i share_older_data.h\n"
	" */\n"
	"#ifndef BCT_TESTS_SHARE_OLDER_DATA_H\n"
	"#define BCT_TESTS_SHARE_OLDER_DATA_H\n\n"
	"#include <stdint.h>\n";

static int print(const char *name, xdrproc_t proc, void *m)
{
	static char data[OLDER_BYTES];
	size_t len = older_encode(proc, m, data);

	printf("\nstatic const uint8_t %s[] = {", name);
	for (size_t i = 0; i < len; i++)
		printf("%s0x%02x,", i % BYTES_PER_LINE ? " " : "\n\t", (uint8_t)data[i]);
	printf("\n};\n");
	return len ? 0 : -1;
}

int main(void)
{
	static older_t o;

	older_fill(&o);
	printf("%s", comment);
	if (print("older_update", (xdrproc_t)xdr_share_update, &o.update) ||
	    print("older_upstreams", (xdrproc_t)xdr_share_upstreams, &o.upstreams))
		return 1;
	printf("\n#endif\n");
	return 0;
}

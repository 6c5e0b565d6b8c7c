/*
 * test_fuzz_replay.c - the fuzz targets without libFuzzer: each case of tests/fuzz/corpus, then
 * mutations of it by a fixed seed.
 */
#include "base/buf.h"
#include "base/rng.h"
#include "tests/fuzz/fuzz.h"

#include <criterion/criterion.h>
#include <dirent.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CORPUS "tests/fuzz/corpus/"
#define SEED 20261203u
#define MUTATIONS 2000 /* of each target, shared by its cases */
#define CASE_MAX_BYTES 8192
#define EDITS_MAX 4
#define GROWTH_BYTES 64

#define DEF(name) int bct_fuzz_##name(const uint8_t *data, size_t size);
BCT_FUZZ_LIST(DEF)
#undef DEF

typedef int (*target_fn)(const uint8_t *data, size_t size);

/* What a fault's message says: the case that was running. */
static char running[640];

static void on_fault(int sig)
{
	if (write(STDERR_FILENO, running, strlen(running)) < 0)
		_exit(1);
	signal(sig, SIG_DFL);
	raise(sig);
}

static size_t edit(bct_rng_t *rng, uint8_t *data, size_t len)
{
	static const uint8_t tokens[] = "{}[]\",:\n\\\0\x01\x7f\x80\xff-09";
	uint32_t at = bct_rng_below(rng, (uint32_t)len + 1);
	uint32_t span = 1 + bct_rng_below(rng, 8);

	switch (bct_rng_below(rng, 5)) {
	case 0: /* flip a bit */
		if (at < len)
			data[at] ^= (uint8_t)(1 << bct_rng_below(rng, 8));
		break;
	case 1: /* put a telling byte */
		if (at < len)
			data[at] = tokens[bct_rng_below(rng, sizeof(tokens))];
		break;
	case 2: /* cut the end */
		return at;
	case 3: /* take some out */
		if (at + span > len)
			span = (uint32_t)len - at;
		memmove(data + at, data + at + span, len - at - span);
		return len - span;
	default: /* say some twice */
		if (at + span > len)
			span = (uint32_t)len - at;
		memmove(data + at + span, data + at, len - at);
		return len + span;
	}
	return len;
}

static size_t read_case(const char *path, uint8_t *data)
{
	FILE *f = fopen(path, "rb");
	size_t n;

	cr_assert_not_null(f, "%s", path);
	n = fread(data, 1, CASE_MAX_BYTES, f);
	fclose(f);
	return n;
}

/* A copy of its own size, so that a sanitizer sees a read past its end. */
static void run_exact(target_fn fn, const uint8_t *data, size_t len)
{
	uint8_t *copy = malloc(len ? len : 1);

	cr_assert_not_null(copy);
	memcpy(copy, data, len);
	fn(copy, len);
	free(copy);
}

static void run_case(const char *path, target_fn fn, uint32_t mutations)
{
	static uint8_t original[CASE_MAX_BYTES], data[CASE_MAX_BYTES + GROWTH_BYTES];
	size_t len = read_case(path, original), now;
	bct_rng_t rng;

	bct_rng_seed(&rng, SEED);
	for (uint32_t i = 0; i <= mutations; i++) {
		uint32_t edits = i ? 1 + bct_rng_below(&rng, EDITS_MAX) : 0;

		memcpy(data, original, len);
		now = len;
		while (edits--)
			now = edit(&rng, data, now);
		snprintf(running, sizeof(running), "%s: mutation %u of seed %u\n", path, i, SEED);
		run_exact(fn, data, now);
	}
}

static uint32_t each_case(const char *name, target_fn fn, uint32_t mutations)
{
	char dir[128], path[512];
	struct dirent *e;
	uint32_t n = 0;
	DIR *d;

	snprintf(dir, sizeof(dir), CORPUS "%s", name);
	d = opendir(dir);
	cr_assert_not_null(d, "%s: run from the root of the tree", dir);
	while ((e = readdir(d))) {
		if (e->d_name[0] == '.')
			continue;
		snprintf(path, sizeof(path), "%s/%s", dir, e->d_name);
		n++;
		if (fn)
			run_case(path, fn, mutations);
	}
	closedir(d);
	return n;
}

static void replay(const char *name, target_fn fn)
{
	uint32_t n = each_case(name, NULL, 0);

	cr_assert_gt(n, 0, "%s has no corpus", name);
	cr_assert_geq(sodium_init(), 0);
	signal(SIGABRT, on_fault);
	signal(SIGSEGV, on_fault);
	each_case(name, fn, MUTATIONS / n);
}

#define DEF(name)                               \
	Test(fuzz_replay, name)                 \
	{                                       \
		replay(#name, bct_fuzz_##name); \
	}
BCT_FUZZ_LIST(DEF)
#undef DEF

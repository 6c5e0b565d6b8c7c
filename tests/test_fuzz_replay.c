/*
 * test_fuzz_replay.c - runs the fuzz targets without libFuzzer on each input of tests/fuzz/corpus
 * and on mutations of it. The seed of the mutations is fixed, so that every run is the same.
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
#define MUTATIONS_PER_TARGET 2000 /* divided among its corpus inputs */
#define CASE_MAX_BYTES 8192	  /* longer corpus files are truncated */
#define EDITS_MAX 4		  /* of one mutation; each adds at most 8 bytes */
#define GROWTH_BYTES 64

#define DEF(name) int bct_fuzz_##name(const uint8_t *data, size_t size);
BCT_FUZZ_LIST(DEF)
#undef DEF

typedef int (*target_fn)(const uint8_t *data, size_t size);

/* Names the input being run, for on_signal() to print. */
static char current_case[640];

static void on_signal(int sig)
{
	if (write(STDERR_FILENO, current_case, strlen(current_case)) < 0)
		_exit(1);
	signal(sig, SIG_DFL);
	raise(sig);
}

/* Applies one random edit to data. Returns the new length. */
static size_t edit(bct_rng_t *rng, uint8_t *data, size_t len)
{
	/* Bytes with a meaning in JSON and event streams, and boundary values. */
	static const uint8_t special[] = "{}[]\",:\n\\\0\x01\x7f\x80\xff-09";
	uint32_t at = bct_rng_below(rng, (uint32_t)len + 1);
	uint32_t span = 1 + bct_rng_below(rng, 8);

	switch (bct_rng_below(rng, 5)) {
	case 0: /* flip a bit */
		if (at < len)
			data[at] ^= (uint8_t)(1 << bct_rng_below(rng, 8));
		break;
	case 1: /* overwrite a byte with a special one */
		if (at < len)
			data[at] = special[bct_rng_below(rng, sizeof(special))];
		break;
	case 2: /* truncate */
		return at;
	case 3: /* delete up to 8 bytes */
		if (at + span > len)
			span = (uint32_t)len - at;
		memmove(data + at, data + at + span, len - at - span);
		return len - span;
	default: /* duplicate up to 8 bytes */
		if (at + span > len)
			span = (uint32_t)len - at;
		memmove(data + at + span, data + at, len - at);
		return len + span;
	}
	return len;
}

static size_t read_input(const char *path, uint8_t *data)
{
	FILE *f = fopen(path, "rb");
	size_t n;

	cr_assert_not_null(f, "%s", path);
	n = fread(data, 1, CASE_MAX_BYTES, f);
	fclose(f);
	return n;
}

/* Runs the target on a heap copy of exact size, so that a sanitizer detects reads past its end. */
static void run_input(target_fn fn, const uint8_t *data, size_t len)
{
	uint8_t *copy = malloc(len ? len : 1);

	cr_assert_not_null(copy);
	memcpy(copy, data, len);
	fn(copy, len);
	free(copy);
}

/* Runs the target on a corpus file, then on mutations of it. */
static void run_case(const char *path, target_fn fn, uint32_t mutations)
{
	static uint8_t original[CASE_MAX_BYTES], data[CASE_MAX_BYTES + GROWTH_BYTES];
	size_t len = read_input(path, original), mutated_len;
	bct_rng_t rng;

	bct_rng_seed(&rng, SEED);
	for (uint32_t i = 0; i <= mutations; i++) {
		uint32_t edits = i ? 1 + bct_rng_below(&rng, EDITS_MAX) : 0;

		memcpy(data, original, len);
		mutated_len = len;
		while (edits--)
			mutated_len = edit(&rng, data, mutated_len);
		snprintf(current_case, sizeof(current_case), "%s: mutation %u of seed %u\n", path,
			 i, SEED);
		run_input(fn, data, mutated_len);
	}
}

/* Runs the target on all its corpus files; fn NULL only counts them. Returns their number. */
static uint32_t for_each_case(const char *name, target_fn fn, uint32_t mutations)
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

/* Runs one target on all its corpus files and on their mutations. */
static void replay(const char *name, target_fn fn)
{
	uint32_t n = for_each_case(name, NULL, 0);

	cr_assert_gt(n, 0, "%s has no corpus", name);
	cr_assert_geq(sodium_init(), 0);
	signal(SIGABRT, on_signal);
	signal(SIGSEGV, on_signal);
	for_each_case(name, fn, MUTATIONS_PER_TARGET / n);
}

#define DEF(name)                               \
	Test(fuzz_replay, name)                 \
	{                                       \
		replay(#name, bct_fuzz_##name); \
	}
BCT_FUZZ_LIST(DEF)
#undef DEF

/*
 * fuzz.h - one target function for two drivers: libFuzzer (make fuzz), where it is the program's
 * entry, and tests/test_fuzz_replay.c, which links all targets under their own names.
 */
#ifndef BCT_TESTS_FUZZ_H
#define BCT_TESTS_FUZZ_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

/* DEF(name): the targets; each has its file fuzz_NAME.c and its corpus/NAME. */
#define BCT_FUZZ_LIST(DEF) \
	DEF(settings)      \
	DEF(conf)          \
	DEF(config_record) \
	DEF(keys)          \
	DEF(lease)         \
	DEF(wire)          \
	DEF(sse)           \
	DEF(answer)        \
	DEF(body)          \
	DEF(report)        \
	DEF(http_msg)      \
	DEF(gate_events)

#ifdef BCT_LIBFUZZER
#define BCT_FUZZ(name)                                                \
	int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size); \
	int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
#else
#define BCT_FUZZ(name)                                         \
	int bct_fuzz_##name(const uint8_t *data, size_t size); \
	int bct_fuzz_##name(const uint8_t *data, size_t size)
#endif

/* A property of a target that does not hold ends the program, for either driver to report. */
#define BCT_FUZZ_CHECK(ok)                                                               \
	do {                                                                             \
		if (!(ok)) {                                                             \
			fprintf(stderr, "%s:%d: not so: %s\n", __FILE__, __LINE__, #ok); \
			abort();                                                         \
		}                                                                        \
	} while (0)

#endif

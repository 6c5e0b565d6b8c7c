/*
 * fuzz.h - defines fuzz targets for two drivers: libFuzzer (make fuzz), which builds one program
 * for each target, and tests/test_fuzz_replay.c, which links all targets under their own names.
 */
#ifndef BCT_TESTS_FUZZ_H
#define BCT_TESTS_FUZZ_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

/* DEF(name): all targets. Each has a source file fuzz_NAME.c and a corpus in corpus/NAME. */
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
	DEF(gate_events)   \
	DEF(notice)        \
	DEF(pack)          \
	DEF(entry)         \
	DEF(routes)

/* BCT_FUZZ(name): declares the target function and begins its definition. */
#ifdef BCT_LIBFUZZER
#define BCT_FUZZ(name)                                                \
	int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size); \
	int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
#else
#define BCT_FUZZ(name)                                         \
	int bct_fuzz_##name(const uint8_t *data, size_t size); \
	int bct_fuzz_##name(const uint8_t *data, size_t size)
#endif

/* BCT_FUZZ_CHECK(ok): aborts the program if the condition is false; both drivers report that. */
#define BCT_FUZZ_CHECK(ok)                                                                     \
	do {                                                                                   \
		if (!(ok)) {                                                                   \
			fprintf(stderr, "%s:%d: check failed: %s\n", __FILE__, __LINE__, #ok); \
			abort();                                                               \
		}                                                                              \
	} while (0)

#endif

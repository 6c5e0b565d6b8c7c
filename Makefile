# buckthornchute - one Makefile for the whole tree. Variables: SAN=address,undefined|thread (sanitizers),
# V=1 (print the commands), PREFIX, DESTDIR.
CC ?= gcc
SAN ?=
# Output directory; the platform builds with BUILD=target.
BUILD ?= build
PREFIX ?= /usr/local
DESTDIR ?=
VERSION := 0.1.0

comma := ,
B := $(BUILD)$(if $(SAN),/san-$(subst $(comma),-,$(SAN)))
BIN := $(B)/bin
Q := $(if $(V),,@)

PKGS := libmicrohttpd libcurl libtirpc ck jansson libsodium libxxhash popt libevent_core libevent_extra libzstd
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
# http-parser has no pkg-config file.
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lhttp_parser -lm

# Undefined behaviour ends the program with an error; by default it would only be printed.
export UBSAN_OPTIONS ?= halt_on_error=1:print_stacktrace=1
SANFLAGS := $(if $(SAN),-fsanitize=$(SAN) -fno-omit-frame-pointer)
WARN := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Wpointer-arith \
	-Wwrite-strings -Wvla
CFLAGS ?= -O2 -g
ALL_CFLAGS := -std=gnu11 -pthread -fPIC $(CFLAGS) $(WARN) $(SANFLAGS) -I. \
	$(patsubst -I%,-isystem %,$(PKG_CFLAGS)) -DBCT_VERSION='"$(VERSION)"'
# Warnings that the output of rpcgen would raise.
GEN_CFLAGS := -Wno-unused-variable -Wno-unused-parameter -Wno-missing-prototypes

LIB_DIRS := base http policy coord gen
LIB_SRCS := $(sort $(foreach d,$(LIB_DIRS),$(wildcard $(d)/*.c)))
NODE_SRCS := $(sort $(wildcard node/*.c))
SOAK_SRCS := $(sort $(wildcard soak/*.c))
GATE_SRCS := $(sort $(wildcard gate/*.c))
PLATFORM_SRCS := $(sort $(wildcard platform/*.c))
CTL_SRCS := $(sort $(wildcard cmd/chutectl*.c cmd/explain*.c)) cmd/duty_page.c
LOAD_SRCS := $(sort $(wildcard cmd/chuteload*.c))
STANDIN_SRCS := $(sort $(wildcard standin/*.c))
STANDIN_MAINS := $(filter standin/fake_%,$(STANDIN_SRCS))
STANDIN_COMMON := $(filter-out standin/fake_%,$(STANDIN_SRCS))
TEST_SRCS := $(sort $(wildcard tests/test_*.c))
TEST_COMMON := $(sort $(wildcard tests/util_*.c))
FUZZ_SRCS := $(sort $(wildcard tests/fuzz/fuzz_*.c))
RACE_SRCS := $(sort $(wildcard tests/race_*.c))
BENCH_SRCS := $(sort $(wildcard bench/bench_*.c))
BENCH_COMMON := $(filter-out bench/bench_%,$(sort $(wildcard bench/*.c)))
TOOL_SRCS := $(sort $(wildcard schema/gen_*.c))

obj = $(patsubst %.c,$(B)/obj/%.o,$(1))

LIB := $(B)/libbuckthornchute.a
SOLIB := $(B)/libbuckthornchute.so
NODE_LIB := $(B)/libnode.a
GATE_LIB := $(B)/libgate.a
PLATFORM_LIB := $(B)/libplatform.a

PROGRAMS := $(BIN)/chuted $(BIN)/chutegate $(if $(CTL_SRCS),$(BIN)/chutectl) \
	$(if $(LOAD_SRCS),$(BIN)/chuteload) \
	$(patsubst standin/fake_%.c,$(BIN)/fake-%,$(STANDIN_MAINS)) \
	$(if $(wildcard examples/embed.c),$(BIN)/embed)
TESTS := $(patsubst tests/%.c,$(BIN)/%,$(TEST_SRCS))
RACES := $(patsubst tests/%.c,$(BIN)/%,$(RACE_SRCS))
BENCHES := $(patsubst bench/%.c,$(BIN)/%,$(BENCH_SRCS))
FUZZERS := $(patsubst tests/fuzz/%.c,$(BIN)/%,$(FUZZ_SRCS))

.PHONY: all programs test unit demo bench bench-policy check format tsan faults gen install clean deps
all: deps programs $(SOLIB)
programs: $(PROGRAMS)

# Installs missing Debian packages if run as root, else prints the command that does.
deps:
	$(Q)sh .ci/deps

$(B)/obj/gen/%.o: gen/%.c
	@mkdir -p $(dir $@)
	$(Q)$(CC) $(ALL_CFLAGS) $(GEN_CFLAGS) -MMD -MP -c $< -o $@

$(B)/obj/%.o: %.c
	@mkdir -p $(dir $@)
	$(Q)$(CC) $(ALL_CFLAGS) -MMD -MP -c $< -o $@

$(LIB): $(call obj,$(LIB_SRCS))
	@rm -f $@
	$(Q)ar rcs $@ $^
$(SOLIB): $(call obj,$(LIB_SRCS))
	$(Q)$(CC) -shared $(SANFLAGS) $^ -o $@ $(PKG_LIBS)
$(NODE_LIB): $(call obj,$(NODE_SRCS))
	@rm -f $@
	$(Q)ar rcs $@ $^

$(GATE_LIB): $(call obj,$(GATE_SRCS))
	@rm -f $@
	$(Q)ar rcs $@ $^
$(PLATFORM_LIB): $(call obj,$(PLATFORM_SRCS))
	@rm -f $@
	$(Q)ar rcs $@ $^

link = @mkdir -p $(BIN); $(CC) $(ALL_CFLAGS) $(filter %.o,$^) $(filter %.a,$^) -o $@ $(PKG_LIBS)

$(BIN)/chuted: $(call obj,cmd/chuted.c cmd/daemon.c) $(NODE_LIB) $(LIB)
	$(link)
$(BIN)/chutegate: $(call obj,cmd/chutegate.c cmd/daemon.c) $(PLATFORM_LIB) $(GATE_LIB) $(LIB)
	$(link)
$(BIN)/chutectl: $(call obj,$(CTL_SRCS)) $(LIB)
	$(link)
$(BIN)/chuteload: $(call obj,$(LOAD_SRCS)) $(LIB)
	$(link)
# The stand-ins of the control API and of its topic, with their HTTP servers.
DUTIES_SRCS := soak/duties.c standin/control_api.c standin/control_call.c standin/keyed_log.c

# Clients that don't behave, for tests/proc_crowd_*.sh, and what a gateway needs beside them.
$(BIN)/crowd: $(call obj,tests/crowd.c tests/crowd_watch.c) $(LIB)
	$(link)
$(BIN)/crowd-backend: $(call obj,tests/crowd_backend.c tests/crowd_broken.c) $(LIB)
	$(link)

$(BIN)/soak: $(call obj,$(sort $(SOAK_SRCS) $(DUTIES_SRCS))) $(LIB)
	$(link)
$(BIN)/embed: $(call obj,examples/embed.c) $(LIB)
	$(link)
$(BIN)/fake-%: $(B)/obj/standin/fake_%.o $(call obj,$(STANDIN_COMMON)) $(LIB)
	$(link)
$(BIN)/test_%: $(B)/obj/tests/test_%.o $(call obj,$(TEST_COMMON) $(BENCH_COMMON)) $(PLATFORM_LIB) $(GATE_LIB) $(NODE_LIB) $(LIB)
	$(link) -lcriterion
$(BIN)/test_fuzz_replay: $(call obj,$(FUZZ_SRCS))
# What the page prints is read by chutectl.
$(BIN)/test_duty: $(call obj,cmd/duty_page.c)
$(BIN)/test_control_standin: $(call obj,$(DUTIES_SRCS))
$(BIN)/race_%: $(B)/obj/tests/race_%.o $(GATE_LIB) $(NODE_LIB) $(LIB)
	$(link)
$(BIN)/bench_%: $(B)/obj/bench/bench_%.o $(call obj,$(BENCH_COMMON)) $(NODE_LIB) $(LIB)
	$(link)
$(BIN)/gen_%: $(B)/obj/schema/gen_%.o $(LIB)
	$(link)
.SECONDARY:

# All unit tests, then the tests that run real processes.
test: deps
	$(Q)$(MAKE) --no-print-directory programs $(BIN)/soak $(BIN)/crowd $(BIN)/crowd-backend unit
	$(Q)BIN=$(BIN) sh tests/run_process_tests.sh

unit: $(TESTS)
	$(Q)BIN=$(BIN) sh tests/run_unit_tests.sh $(TESTS)

demo: deps
	$(Q)$(MAKE) --no-print-directory programs
	$(Q)BIN=$(BIN) sh examples/demo.sh

bench: programs $(BENCHES)
	$(Q)BIN=$(BIN) sh bench/run.sh

bench-policy: $(BIN)/bench_policy
	$(Q)$(BIN)/bench_policy

# Injects every fault at every step into real processes; writes docs/FAULTS.md.
faults: programs
	$(Q)BIN=$(BIN) sh bench/faults.sh

# Runs NODES real gateways under random faults, with RUNS seeds from SEED on and SECONDS of faults for
# each seed.
SEED ?= 1
RUNS ?= 1
NODES ?= 4
SECONDS ?= 10
soak: programs $(BIN)/soak
	$(Q)BIN=$(BIN) SEED=$(SEED) RUNS=$(RUNS) SECONDS_EACH=$(SECONDS) NODES=$(NODES) sh soak/run.sh
.PHONY: soak

tsan: programs
	$(Q)$(MAKE) --no-print-directory SAN=thread programs races
	$(Q)BIN=$(BIN) SAN_BIN=build/san-thread/bin sh tests/run_race_tests.sh
.PHONY: races
races: $(RACES)

# Runs each fuzz target for FUZZ_SECONDS under clang's sanitizers; needs the packages in
# .ci/packages-fuzz.
FUZZ_SECONDS ?= 20
FUZZ_SEED ?= 1
FUZZ_JOBS ?= 4
FUZZ_SAN := fuzzer-no-link,address,undefined
fuzz:
	$(Q)$(MAKE) --no-print-directory CC=clang SAN=$(FUZZ_SAN) fuzzers
	$(Q)BIN=build/san-$(subst $(comma),-,$(FUZZ_SAN))/bin SECONDS_EACH=$(FUZZ_SECONDS) \
		SEED=$(FUZZ_SEED) JOBS=$(FUZZ_JOBS) sh tests/fuzz/run.sh
fuzzers: $(FUZZERS)
$(B)/fuzz/%.o: tests/fuzz/%.c
	@mkdir -p $(dir $@)
	$(Q)$(CC) $(ALL_CFLAGS) -DBCT_LIBFUZZER -MMD -MP -c $< -o $@
$(BIN)/fuzz_%: $(B)/fuzz/fuzz_%.o $(PLATFORM_LIB) $(GATE_LIB) $(NODE_LIB) $(LIB)
	@mkdir -p $(BIN)
	$(Q)$(CC) $(ALL_CFLAGS) -fsanitize=fuzzer $(filter %.o,$^) $(filter %.a,$^) -o $@ $(PKG_LIBS)
.PHONY: fuzz fuzzers

C_FILES := $(sort $(wildcard base/*.[ch] http/*.[ch] policy/*.[ch] coord/*.[ch] node/*.[ch] gate/*.[ch] platform/*.[ch] soak/*.[ch] cmd/*.[ch] \
	standin/*.[ch] tests/*.[ch] tests/fuzz/*.[ch] bench/*.[ch] examples/*.[ch] schema/*.[ch]))

check: $(GATE_LIB)
	$(Q)clang-format --dry-run -Werror $(C_FILES)
	$(Q)sh .ci/layers
	$(Q)OBJ=$(B)/obj/gate sh .ci/calls
	$(Q)awk -f .ci/log_keys $(filter %.c,$(C_FILES))
	$(Q)cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 -I. -j 8 '-DTest(suite,name,...)=static void suite##_##name(void)' '-DTestSuite(suite,...)=' \
		--enable=warning,performance,portability \
		--suppress=missingIncludeSystem --suppress=normalCheckLevelMaxBranches \
		$(filter %.c,$(C_FILES))
	@echo "check: format, layers and linter clean"

format:
	$(Q)clang-format -i $(C_FILES)

# Regenerates gen/ and the generated pages. The results are committed, so that a build does not need
# rpcgen.
gen:
	$(Q)sh schema/regen.sh

install: programs $(SOLIB)
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib/pkgconfig $(DESTDIR)$(PREFIX)/share/man/man1
	install $(BIN)/chuted $(BIN)/chutegate $(BIN)/chutectl $(BIN)/chuteload $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIB) $(SOLIB) $(DESTDIR)$(PREFIX)/lib
	for d in base policy coord; do \
		install -d $(DESTDIR)$(PREFIX)/include/buckthornchute/$$d; \
		install -m 644 $$d/*.h $(DESTDIR)$(PREFIX)/include/buckthornchute/$$d; done
	sed -e 's|@PREFIX@|$(PREFIX)|' -e 's|@VERSION@|$(VERSION)|' buckthornchute.pc.in \
		> $(DESTDIR)$(PREFIX)/lib/pkgconfig/buckthornchute.pc
	install -m 644 man/*.1 $(DESTDIR)$(PREFIX)/share/man/man1

clean:
	rm -rf build

-include $(shell find $(B)/obj $(B)/fuzz -name '*.d' 2>/dev/null)

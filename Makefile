# Builds papayaloft. README.md lists the targets.

BUILD ?= build
SAN ?=
CC = gcc
PKGS = glib-2.0 jansson libmicrohttpd neon libzmq liburcu-bp libprotobuf-c libxxhash
# What papayaloft-platformd needs. It is linked with nothing else, because each
# loaded library costs memory on every machine.
LEAN_PKGS = glib-2.0 jansson libevent_core libprotobuf-c libxxhash
LEAN_LIBS = $(shell pkg-config --libs $(LEAN_PKGS)) -lhttp_parser -lm
CSTD = -std=gnu11
WARN = -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
       -Wno-missing-field-initializers -Werror
# Without optimisation limits on inlining liburcu's flavour functions stay
# out of line, so that one library build serves all programs.
CFLAGS ?= -O2 -g
ALL_CFLAGS = $(CSTD) $(CFLAGS) $(WARN) -D_GNU_SOURCE \
  $(if $(SAN),-fsanitize=$(SAN) -fno-omit-frame-pointer) \
  $(addprefix -I,$(wildcard lib/*)) -Itests $(shell pkg-config --cflags $(PKGS))
ALL_LIBS = $(shell pkg-config --libs $(PKGS) $(LEAN_PKGS)) -lhttp_parser \
  -lpthread -lm
TEST_LIBS = $(shell pkg-config --libs cunit)

LIB_SRC := $(wildcard lib/*/*.c)
CMDS := $(notdir $(wildcard cmd/*))
STANDINS := $(notdir $(wildcard tests/standin/*))
TESTS := $(patsubst tests/%.c,%,$(wildcard tests/*_test.c))
LIB_OBJ := $(LIB_SRC:%.c=$(BUILD)/%.o)
LIB := $(BUILD)/libpapayaloft.a
# Tells ThreadSanitizer of the synchronization inside GLib and liburcu.
TSAN_OBJ := $(if $(findstring thread,$(SAN)),$(BUILD)/tests/tsan/glib.o)
BIN := $(addprefix $(BUILD)/bin/,$(CMDS) papayaloft-platformd $(STANDINS) $(TESTS))
OWN_SRC := $(filter-out %.pb-c.c %.gen.c,$(shell find lib cmd platform tests -name '*.c'))
OWN_HDR := $(filter-out %.pb-c.h %.gen.h,$(shell find lib cmd platform tests -name '*.h'))

all: $(BIN)

$(LIB): $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) -I$(dir $<) -MMD -MP -c $< -o $@

define program
$(BUILD)/bin/$(1): $$(patsubst %.c,$(BUILD)/%.o,$$(wildcard $(2)/*.c)) $(LIB)
	@mkdir -p $$(@D)
	$(CC) $$(ALL_CFLAGS) $$^ -o $$@ $$(ALL_LIBS)
endef
$(foreach c,$(CMDS),$(eval $(call program,$(c),cmd/$(c))))
$(foreach c,$(STANDINS),$(eval $(call program,$(c),tests/standin/$(c))))

$(BUILD)/bin/papayaloft-platformd: $(patsubst %.c,$(BUILD)/%.o,$(wildcard platform/*.c)) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) $^ -o $@ $(LEAN_LIBS)

$(BUILD)/bin/%_test: $(BUILD)/tests/%_test.o $(TSAN_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) $^ -o $@ $(TEST_LIBS) $(ALL_LIBS)

# plat_test runs the server of standin-platform in its own process.  LIB is
# linked a second time because the server's objects, which come after it, use it.
PLAT_SERVER := $(filter-out %/main.c,$(wildcard tests/standin/standin-platform/*.c))
$(BUILD)/bin/plat_test: $(PLAT_SERVER:%.c=$(BUILD)/%.o)
$(BUILD)/bin/plat_test: TEST_LIBS += $(LIB)

# The test of papayaloft-platformd links the parts of the daemon that it calls.
$(BUILD)/bin/platform_test: $(addprefix $(BUILD)/platform/,answer.o decode.o \
  settings.o submission.o)
$(BUILD)/bin/platform_test: TEST_LIBS += $(LIB)
$(BUILD)/bin/platform_store_test: $(addprefix $(BUILD)/platform/,decode.o \
  settings.o store.o)
$(BUILD)/bin/platform_store_test: TEST_LIBS += $(LIB)

# Regenerates the committed sources from schema/; needs protoc-c and awk.
generate:
	protoc-c --proto_path=schema --c_out=lib/msg schema/peer.proto
	protoc-c --proto_path=schema --c_out=lib/claim schema/claim.proto
	protoc-c --proto_path=schema --c_out=lib/cell schema/cell.proto
	awk -f schema/codes.awk schema/codes.txt
	awk -f schema/events.awk schema/events.txt
	awk -f schema/counters.awk schema/counters.txt
	awk -f schema/settings.awk schema/settings.txt

format:
	clang-format -i $(OWN_SRC) $(OWN_HDR)

format-check:
	clang-format --dry-run --Werror $(OWN_SRC) $(OWN_HDR)

lint:
	@printf '%s\n' $(OWN_SRC) | xargs -P $$(nproc) -n 1 \
	  sh -c 'clang-tidy --quiet "$$@" -- $(ALL_CFLAGS) 2>/dev/null' lint

check:
	@bash scripts/check

unit: all
	@bash scripts/unit $(BUILD)

demo:
	@bash scripts/demo

clean:
	rm -rf $(BUILD) build-*

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
.PHONY: all generate format format-check lint check unit demo clean

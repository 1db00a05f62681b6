# file: lib/cell/check.c
# test: cell_fault_test
# Messages without a sender are handled.
s/env->sender == 0 || //

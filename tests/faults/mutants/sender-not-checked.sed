# file: lib/cell/check.c
# test: cell_fault_test
# change: messages without a sender are handled
s/env->sender == 0 || //

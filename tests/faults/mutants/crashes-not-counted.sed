# file: lib/owner/crash.c
# test: cell_fault_test
# change: a task is started again however many workers it has crashed
s/^#define MAX_CRASHES 2$/#define MAX_CRASHES 200/
s/^#define MAX_LOSSES 4$/#define MAX_LOSSES 400/

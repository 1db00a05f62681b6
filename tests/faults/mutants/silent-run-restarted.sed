# file: lib/owner/task.c
# test: cell_fault_test
# change: a task is started again at once when its holder is silent
s/^#define RUN_EXPIRY_US .*/#define RUN_EXPIRY_US 0/

# file: lib/lease/blame.c
# test: lease_crash_test
# change: all runs on a crashed worker are blamed alike
s/^#define SAME_START_US 10000$/#define SAME_START_US 100000000/

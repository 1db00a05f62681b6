# file: lib/lease/listed.c
# test: lease_crash_test
# change: a restart of a worker ends also runs that its new process has started
s/^      if (run->listed)$/      if (run != NULL)/

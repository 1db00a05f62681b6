# file: lib/lease/ramp.c
# test: lease_ramp_test
# change: a cold worker is reported with all its capacity
s/^  if (w->ramp.active)$/  if (w == NULL)/

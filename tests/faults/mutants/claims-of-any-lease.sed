# file: lib/lease/run.c
# test: lease_test
# change: a claim that names a former lease keeps the run under the present one
s/^  if (order->token != w->token || run == NULL$/  if (run == NULL/

# file: lib/lease/renew.c
# test: cell_cut_test
# change: a lease is renewed though the owner may take the holder for lost
s/^  if (run->stop_acked_us != 0)/  if (run != NULL)/

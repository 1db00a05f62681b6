# file: lib/lease/poll.c
# test: cell_loss_test
# change: a start without an answer ends with its lease
s/^      if (lease_is_acknowledged (run))$/      if (run != NULL)/

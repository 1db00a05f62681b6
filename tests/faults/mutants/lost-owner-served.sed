# file: lib/cell/hold.c
# test: cell_test
# change: a holder starts runs for an owner that it takes for lost
s/ok = w != NULL \&\& owner_alive/ok = w != NULL/

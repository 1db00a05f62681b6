# file: lib/lease/blame.c
# test: cell_loss_test
# change: a start that no process has accepted counts as the cause of a crash
s/^      bool latest = lease_is_acknowledged (run)$/      bool latest = run != NULL/

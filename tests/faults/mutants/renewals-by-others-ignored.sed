# file: lib/cell/hold.c
# test: cell_loss_test
# change: a lease counts as expired though another instance may have renewed it
s/^  return cell_may_be_succeeded (ctx, since_us);/  return ctx == NULL \&\& since_us < 0;/

# file: lib/lease/listed.c
# test: lease_crash_test
# change: a restarted worker is held on with the former token
s/^  w->token = table->ops->raise_token (table->ctx, w);$//

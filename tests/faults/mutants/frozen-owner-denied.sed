# file: lib/cell/find.c
# test: cell_search_test
# change: a silent instance that is no longer registered counts as ended
s/^         && (peer->registered || peer->id != 0);/         \&\& peer->registered;/

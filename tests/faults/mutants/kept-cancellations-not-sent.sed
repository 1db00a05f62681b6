# file: lib/cell/member.c
# test: cell_search_test
# change: a peer that is heard again is not told of kept cancellations
/^  cell_send_cancellations (cell, peer);/d

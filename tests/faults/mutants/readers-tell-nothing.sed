# file: lib/cell/heard.c
# test: cell_size_test
# change: the readers of the registry tell their peers nothing
s/cell_tell_workers (cell, peer);/(void)cell_tell_workers;/

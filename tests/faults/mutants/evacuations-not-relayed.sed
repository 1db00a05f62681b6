# file: lib/cell/heard.c
# test: evac_test
# change: what peers tell of evacuations is ignored
/cell_read_evacuations/d

# file: lib/cell/find.c
# test: cell_search_test
# change: in a large fleet no other failure domain is asked for a job
s/^    ask_domains (cell, search);/    (void)ask_domains;/

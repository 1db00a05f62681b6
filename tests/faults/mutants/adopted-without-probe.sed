# file: lib/cell/assign.c
# test: cell_size_test
# change: the workers of a domain without instances are taken without a probe
s/(hold == PEER_HOLD_SILENT || cell->domain_only)/(hold == PEER_HOLD_SILENT)/

# file: lib/cell/registry.c
# test: cell_registry_test
# change: peers tell nothing of what the registry does not
s/known->changed_revision <= held->revision/held->revision >= 0/

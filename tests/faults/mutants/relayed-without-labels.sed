# file: lib/cell/registry.c
# test: cell_registry_test
# change: a relayed state of another process is completed with the former one's
# labels
s/^  if (msg->entry != NULL)$/  if (false)/
s/^  if (msg->incarnation_ms == info.incarnation_ms)$/  info.incarnation_ms = msg->incarnation_ms;/

# file: lib/cell/find.c
# test: cell_search_test
# change: the peers of the failure domain are not asked for a job
s/^  return peer->domain == cell->domain || peer->id == cell->planner_id;/  return peer->id == cell->planner_id;/

# file: lib/cell/find.c
# test: cell_search_test
# change: only the planner is asked for a job
s/^      if (peer->alive && (search->asks_all || is_asked_first (cell, peer))/      if (peer->alive \&\& peer->id == cell->planner_id/

# file: lib/planner/queue.c
# test: planner_test
# change: the planner forgets where the other tasks of a job are
s/^  g_array_append_vals (job->placed, .*//

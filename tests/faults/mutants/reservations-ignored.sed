# file: lib/planner/reserve.c
# test: planner_lookahead_test
# change: tasks start on reserved workers although they delay what is reserved
s/^  return !w->reserved || now_us/  return true || now_us/

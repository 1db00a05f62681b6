# file: lib/planner/schedule.c
# test: cell_loss_test
# change: a task is granted although a holder still has a run of it
s/^      if (planner_is_running (planner, job, index, now_us))$/      if (false)/

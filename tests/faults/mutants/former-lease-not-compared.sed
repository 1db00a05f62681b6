# file: lib/owner/task.c
# test: cell_cut_test
# change: an end of a former lease is applied to the run under the present one
s/end->token == 0 || end->token == task->token/end->token >= 0/

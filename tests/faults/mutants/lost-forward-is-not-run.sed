# file: lib/cell/overflow.c
# test: cell_overflow_test
# change: a forwarded job whose lender is silent counts as not run
s/  if (job != NULL)$/  if (job != NULL) job->started = false;\n  if (job != NULL)/
s/owner_abort_job (cell->jobs, job, PL_UNKNOWN_LOST, true)/owner_abort_job (cell->jobs, job, PL_DEADLINE_LOST, true)/

# file: lib/owner/task.c
# test: owner_test
# change: a job whose starts were all refused counts as started
s/job->started = --job->n_possible_runs > 0;/--job->n_possible_runs;/

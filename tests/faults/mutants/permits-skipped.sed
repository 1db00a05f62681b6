# file: lib/disp/submit.c
# script: pause
# change: a job starts without a permit of the witness
/^enqueue/,/^}/s/job->witness == 0/job->witness != 1/

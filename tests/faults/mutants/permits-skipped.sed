# file: lib/disp/submit.c
# script: pause
/^enqueue/,/^}/s/job->witness == 0/job->witness != 1/

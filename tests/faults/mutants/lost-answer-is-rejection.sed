# file: lib/lease/run.c
# test: cell_fault_test
# change: a start without an answer counts as rejected
/No answer: the run may have started/,/lease_order_stop/s/lease_order_stop (table, w, run, now_us);/lease_end_run (table, w, run, LEASE_END_REJECTED, LEASE_CAUSE_ANSWER, now_us);/

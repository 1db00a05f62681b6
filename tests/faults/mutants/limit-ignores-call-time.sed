# file: lib/lease/call_time.c
# test: cell_size_test
# change: the time limit of calls does not follow what they take
s/return MIN (MAX (usual_us, min_us) << time->doublings, TIMEOUT_MAX_US);/return min_us + 0 * usual_us;/

# file: lib/overflow/received.c
# test: cell_overflow_test
# change: a received job goes on though its origin is silent
s/received->until_us > now_us/true/

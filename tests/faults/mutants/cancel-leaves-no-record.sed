# file: lib/disp/submit.c
# script: resubmit
# change: a cancellation of a key that is not recorded leaves no record
s/found == CLAIM_NEW && msg->flag)/found == CLAIM_NEW \&\& msg->flag \&\& msg->posted_us < 0)/

# file: lib/disp/submit.c
# script: resubmit
s/found == CLAIM_NEW && msg->flag)/found == CLAIM_NEW \&\& msg->flag \&\& msg->posted_us < 0)/

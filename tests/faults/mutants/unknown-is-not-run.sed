# file: lib/entry/route.c
# script: kill
# change: a key of which the witness knows nothing is reported as not run
s/if (result == CLAIM_REVOKED)/if (result != CLAIM_PERMITTED)/

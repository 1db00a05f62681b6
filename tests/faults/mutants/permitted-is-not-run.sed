# file: lib/entry/route.c
# script: kill
# change: a key with a permit is reported as not run
s/if (result == CLAIM_REVOKED)/if (result != CLAIM_UNKNOWN)/

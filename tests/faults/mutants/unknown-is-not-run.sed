# file: lib/entry/route.c
# script: kill
s/if (result == CLAIM_REVOKED)/if (result != CLAIM_PERMITTED)/

# file: lib/claim/witness.c
# script: pause
/^claim_revoke/,/^}/s/add_entry (table, table->revoked, &group->revoked, hash)/(void)group/

# file: lib/claim/table.c
# script: resubmit
s/same_body (\*record, body_hash)/same_body (*record, (*record)->body)/

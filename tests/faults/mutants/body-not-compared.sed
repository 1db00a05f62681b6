# file: lib/claim/table.c
# script: resubmit
# change: a resubmission with another body joins the recorded one
s/same_body (\*record, body_hash)/same_body (*record, (*record)->body)/

# file: lib/run/conn.c
# script: resubmit
# change: neon may send a task again on a second connection
s/ne_set_localaddr (conn->session, unbindable ())/ne_set_localaddr (conn->session, conn->withhold_body ? unbindable () : conn->source)/
s/bool second = conn->connected;/bool second = false;/
s/conn->body_given || conn->withhold_body/conn->withhold_body/
s/conn->body_given = true;/conn->body_offset = 0;/

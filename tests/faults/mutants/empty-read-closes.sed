# file: lib/net/client.c
# test: net_client_test
# change: a read callback that finds nothing closes the connection
s/if (!has_unread_input (conn))/if (conn == NULL)/

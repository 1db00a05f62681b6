# file: lib/cell/hold.c
# test: evac_test
# change: holders start on workers of evacuated domains what planners grant
s/owner_alive && !evacuated/owner_alive/

# Prints for each failure domain the share of submitted jobs that were answered with
# OK, and the seconds from a fault until service has recovered.  LOG holds log lines
# of instances, each after a time in seconds and the instance's name:
#   awk -v fault=6 -v until=20 -f scripts/recovery.awk LOG
# Service has recovered at the first second from which on each second has a share of
# 0.9 or more, by time of submission. Callers that reach no instance are not in the
# logs.

BEGIN {
  STEP_S = 1
  RECOVERED_SHARE = 0.9
}

function value(name,  at, rest) {
  at = index($0, "\"" name "\":\"")
  if (at == 0)
    return ""
  rest = substr($0, at + length(name) + 4)
  return substr(rest, 1, index(rest, "\"") - 1)
}

/"name":"START"/ { domain[$2] = value("domain") }

/"name":"SUBMIT"/ {
  key = value("key")
  if (domain[$2] == "")
    next # its start is not in the log
  slot = int($1 / STEP_S)
  from[key] = domain[$2] SUBSEP slot
  submitted[from[key]]++
  domains[domain[$2]] = 1
}

/"name":"DONE"/ {
  key = value("key")
  if (key in from && value("code") == "OK")
    answered_ok[from[key]]++
}

function share(d, slot) {
  return submitted[d, slot] ? answered_ok[d, slot] / submitted[d, slot] : -1
}

END {
  for (d in domains) {
    last = int(until / STEP_S) - 1
    first = int(fault / STEP_S)
    recovered = first
    worst = 1
    n = g = 0
    for (slot = first; slot <= last; slot++) {
      s = share(d, slot)
      n += submitted[d, slot]
      g += answered_ok[d, slot]
      if (s < worst)
        worst = s < 0 ? 0 : s
      if (s < RECOVERED_SHARE)
        recovered = slot + 1
    }
    printf "%s\tserved %.3f\tworst second %.2f\tback after %.1f s\n", \
      d, n ? g / n : 0, worst, (recovered - first) * STEP_S
  }
}

# Reads a record and prints each pair of runs of one task that were there at the
# same time, on workers that were up.  Exits with 1 if there is one, with 2 if
# hardly a job was served.
$2 == "start" {
  task = $4
  for (k in on)
    if (substr(k, 1, length(task) + 1) == task " ") {
      split(on[k], at, " ")
      broken++
      print "TWICE: task " task " run " $5 " started on " $3 " at " $1 " us while run " at[3] " was on " at[2] " since " at[1] " us"
      overlap[task] = $1
    }
  on[task " " $3 " " $5] = $1 " " $3 " " $5
  starts++
}
$2 == "end" {
  if ($4 in overlap) {
    print "       run " $5 " on " $3 " ended (" $6 ") " $1 - overlap[$4] " us after the second start"
    delete overlap[$4]
  }
  delete on[$4 " " $3 " " $5]
}
# What ran in a process ends with it.
$2 == "down" {
  downs++
  for (k in on) { split(on[k], at, " "); if (at[2] == $3) delete on[k] }
}
$2 == "answer" { answers[$4]++ }
END {
  printf "starts %d, processes of workers ended %d, answers", starts, downs
  for (status in answers) printf " %s: %d", status, answers[status]
  printf "; tasks that ran twice at the same time: %d\n", broken
  if (answers[200] < 20) exit 2
  exit broken > 0
}

# Reads a record and prints each job that was answered as failed although no
# task of it has failed and under none of its tasks two workers' processes have
# ended.  Exits with 1 if there is one, with 2 if hardly a job was served.
function job_of(task) { return substr(task, 1, 16) }
$2 == "start" { on[$4 " " $3 " " $5] = $3; n_starts[$4]++ }
$2 == "end" { delete on[$4 " " $3 " " $5]; if ($6 == "failed") failed[job_of($4)]++ }
# What ran in a process ends with it.
$2 == "down" {
  downs++
  for (k in on)
    if (on[k] == $3) {
      split(k, part, " ")
      crashes[part[1]]++
      delete on[k]
    }
}
$2 == "answer" {
  answers[$4]++
  if ($4 == 200 && $5 ~ /failed/) { given_up[$3] = $1 }
}
END {
  for (job in given_up) {
    most = 0; text = ""
    for (i = 0; i < 64; i++) {
      task = job ".0.0." i
      if (task in crashes) {
        text = text " task " i ": " n_starts[task] " starts, " crashes[task] " crashes;"
        if (crashes[task] > most) most = crashes[task]
      }
    }
    if (most >= 2 || failed[job]) { allowed++; continue }
    broken++
    print "LOST: job " job " answered as failed at " given_up[job] " us; workers that crashed under its tasks:" (text == "" ? " none" : text)
  }
  printf "processes of workers ended %d, answers", downs
  for (status in answers) printf " %s: %d", status, answers[status]
  printf "; shown as failed with a cause: %d, without: %d\n", allowed, broken
  if (answers[200] < 20) exit 2
  exit broken > 0
}

// Idempotency keys of one domain: owner, successor, copies in flight, death, hand-over.
// Lines marked "rule" are removed one at a time by ModelTest, which then expects a counterexample.
module keys

sig Key {}
sig Copy { key: one Key }

abstract sig Record {}
one sig Running, Answered, NotRun, Unknown extends Record {}

abstract sig Entry { var rec: Key -> lone Record, var exec: set Copy }
one sig Owner, Successor extends Entry {}

var sig Alive in Entry {}
// Entry instances that run keys of this domain.
var sig Holding in Entry {}
var sig Pending in Copy {}
var sig Ran in Copy {}
// Handed to a connection and given up: may still run.
var sig Stray in Copy {}
var sig ToldNotRun in Copy {}
// Keys whose time of first use is past.
var sig Past in Key {}

pred init {
  Alive = Entry and Holding = Owner and Pending = Copy
  no Ran and no Stray and no ToldNotRun and no Past and no rec and no exec
}

pred sameEntries { Alive' = Alive and Holding' = Holding }
pred sameTold { ToldNotRun' = ToldNotRun }
pred sameRuns { Ran' = Ran and Stray' = Stray }

pred start[c: Copy, e: Entry] {
  c in Pending and e in Alive and e in Holding
  no e.rec[c.key]                                   // rule: record
  c.key not in Past                                 // rule: window
  rec' = rec - e -> c.key -> Record + e -> c.key -> Running and exec' = exec + e -> c and Pending' = Pending - c
  sameEntries and sameTold and sameRuns and Past' = Past
}

// A later copy gets what is recorded, at the holder or at whoever still has the records.
pred replay[c: Copy, e: Entry] {
  c in Pending and e in Alive and e.rec[c.key] in Answered + NotRun + Unknown
  Pending' = Pending - c
  ToldNotRun' = (e.rec[c.key] = NotRun => ToldNotRun + c else ToldNotRun)
  rec' = rec and exec' = exec and sameEntries and sameRuns and Past' = Past
}

// The owner is gone, or the time of first use is past: the copy is told unknown.
pred giveUp[c: Copy] {
  c in Pending and Pending' = Pending - c
  rec' = rec and exec' = exec and sameEntries and sameTold and sameRuns and Past' = Past
}

pred answered[c: Copy, e: Entry] {
  e in Alive and c in e.exec
  rec' = rec - e -> c.key -> Record + e -> c.key -> Answered and exec' = exec - e -> c and Ran' = Ran + c and Stray' = Stray
  sameEntries and sameTold and Pending' = Pending and Past' = Past
}

pred refused[c: Copy, e: Entry] {
  e in Alive and c in e.exec
  rec' = rec - e -> c.key -> Record + e -> c.key -> NotRun              // rule: tombstone
  ToldNotRun' = ToldNotRun + c and exec' = exec - e -> c
  sameEntries and sameRuns and Pending' = Pending and Past' = Past
}

pred cut[c: Copy, e: Entry] {
  e in Alive and c in e.exec
  rec' = rec - e -> c.key -> Record + e -> c.key -> Unknown and exec' = exec - e -> c and Stray' = Stray + c and Ran' = Ran
  sameEntries and sameTold and Pending' = Pending and Past' = Past
}

pred strayRuns[c: Copy] {
  c in Stray and Stray' = Stray - c and Ran' = Ran + c
  rec' = rec and exec' = exec and sameEntries and sameTold and Pending' = Pending and Past' = Past
}

pred die[e: Entry] {
  e in Alive and Alive' = Alive - e and Holding' = Holding and Stray' = Stray + e.exec and Ran' = Ran
  exec' = exec - e -> Copy and rec' = rec and sameTold and Pending' = Pending and Past' = Past
}

pred handOver {
  Owner + Successor in Alive and Owner in Holding
  no Owner.exec
  Holding' = Holding - Owner + Successor            // rule: freeze
  Successor in Holding'
  rec' = rec + Successor -> Owner.rec and exec' = exec and Alive' = Alive
  sameTold and sameRuns and Pending' = Pending and Past' = Past
}

pred pass[k: Key] {
  Past' = Past + k
  rec' = rec and exec' = exec and sameEntries and sameTold and sameRuns and Pending' = Pending
}

pred sweep[e: Entry, k: Key] {
  some e.rec[k] and e.rec[k] != Running
  k in Past                                         // rule: keep
  rec' = rec - e -> k -> Record
  exec' = exec and sameEntries and sameTold and sameRuns and Pending' = Pending and Past' = Past
}

pred stutter {
  rec' = rec and exec' = exec and sameEntries and sameTold and sameRuns and Pending' = Pending and Past' = Past
}

pred step {
  (some c: Copy | giveUp[c] or strayRuns[c] or
    (some e: Entry | start[c, e] or replay[c, e] or answered[c, e] or refused[c, e] or cut[c, e]))
  or (some e: Entry | die[e] or (some k: Key | sweep[e, k]))
  or (some k: Key | pass[k]) or handOver or stutter
}

fact { init and always step }

assert AtMostOnce { always all k: Key | lone (Ran & key.k) }
assert NotRunIsTrue { always all c: ToldNotRun | always no (Ran & key.(c.key)) }

check AtMostOnce for exactly 1 Key, exactly 3 Copy, 1..7 steps
check NotRunIsTrue for exactly 1 Key, exactly 3 Copy, 1..7 steps

// The interesting states are reached: a hand-over, then a replay at the successor of what ran before.
run Reached {
  eventually (handOver and some Ran)
  eventually (some c: Copy | replay[c, Successor] and Successor.rec[c.key] = Answered)
  eventually (some c: Copy | strayRuns[c])
} for exactly 2 Key, exactly 3 Copy, 1..9 steps

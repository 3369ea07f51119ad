// One unit of a link: holders that write, pause and lose answers; each has a clock of its own.
module lease

open util/ordering[Revision]

sig Revision {}
sig Holder {
  // Ticks for which this holder may still use the unit, by its own clock.
  var left: one Int,
  // Revision that this holder last saw, and for how many ticks it has seen it unchanged.
  var saw: lone Revision,
  var age: one Int,
  // Ticks since it sent a write whose answer it waits for; -1 if none.
  var sent: one Int,
  var expects: lone Revision
}
one sig Row { var rev: one Revision, var owner: lone Holder }

fun term: Int { 1 }
fun margin: Int { 1 }

pred init {
  Row.rev = first and no Row.owner
  all h: Holder | h.left = 0 and no h.saw and h.age = 0 and h.sent = -1 and no h.expects
}

pred same[h: Holder] {
  h.left' = h.left and h.saw' = h.saw and h.age' = h.age and h.sent' = h.sent and h.expects' = h.expects
}
pred sameRow { rev' = rev and owner' = owner }

// The holder reads the row; only a change starts its count again.
pred read[h: Holder] {
  h.saw' = Row.rev and h.age' = (h.saw = Row.rev => h.age else 0)
  h.left' = h.left and h.sent' = h.sent and h.expects' = h.expects
  sameRow and all o: Holder - h | same[o]
}

pred send[h: Holder] {
  some h.saw and h.sent = -1
  Row.owner in h or gte[h.age, add[term, margin]] or no Row.owner   // rule: wait
  h.sent' = 0 and h.expects' = h.saw
  h.left' = h.left and h.saw' = h.saw and h.age' = h.age
  sameRow and all o: Holder - h | same[o]
}

// The store takes the write, perhaps long after it was sent, if the row did not change meanwhile.
pred take[h: Holder] {
  h.sent >= 0 and some Row.rev.next
  h.expects = Row.rev                                                // rule: condition
  rev' = Row -> Row.rev.next and owner' = Row -> h
  h.left' = (h.sent < term => sub[term, h.sent] else 0) and h.sent' = -1 and no h.expects'
  h.saw' = Row.rev.next and h.age' = 0
  all o: Holder - h | same[o]
}

pred lose[h: Holder] {
  h.sent >= 0 and h.sent' = -1 and no h.expects'
  h.left' = h.left and h.saw' = h.saw and h.age' = h.age
  sameRow and all o: Holder - h | same[o]
}

// Time passes for all, paused or not.
pred tick {
  sameRow
  all h: Holder {
    h.left' = (h.left > 0 => sub[h.left, 1] else 0)                  // rule: expire
    h.age' = (h.age < 3 => add[h.age, 1] else h.age)
    h.sent' = (h.sent < 0 => h.sent else (h.sent < 3 => add[h.sent, 1] else h.sent))
    h.saw' = h.saw and h.expects' = h.expects
  }
}

pred step { tick or some h: Holder | read[h] or send[h] or take[h] or lose[h] }

fact { init and always step }

assert NeverOver { always lone h: Holder | h.left > 0 }

check NeverOver for 3 Revision, 2 Holder, 3 Int, 1..10 steps

// The unit goes from one holder to the other, which had to wait for it.
run Reached {
  some disj a, b: Holder | eventually (a.left > 0 and eventually b.left > 0)
} for 3 Revision, 2 Holder, 3 Int, 1..10 steps

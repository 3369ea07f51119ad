// Table versions: a store that loses answers and can be restored, nodes that poll, push and restart.
module tables

open util/ordering[Version]

sig Version {}
sig Edit {}

one sig Store { var head: lone Version, var log: Version -> lone Edit }
sig Node { var inForce: lone Version, var content: lone Edit }

// A conditional write; a copy of it may arrive at any time, again and again.
sig Write { edit: one Edit, base: lone Version }
var sig Sent in Write {}

fact { all disj a, b: Write | a.edit != b.edit }

fun nextOf[v: lone Version]: lone Version { no v => first else v.next }
fun newest: lone Version { max[Node.inForce + Store.head] }

pred init { no head and no log and no inForce and no content and no Sent }
pred sameNodes { inForce' = inForce and content' = content }
pred sameStore { head' = head and log' = log }

// An operator's edit starts from the store's head, after the store was put right from what is in force.
pred send[w: Write] {
  w not in Sent and w.base = Store.head
  Store.head = newest                               // rule: forward
  Sent' = Sent + w and sameStore and sameNodes
}

pred take[w: Write] {
  w in Sent and some nextOf[w.base]
  w.base = Store.head                               // rule: condition
  head' = Store -> nextOf[w.base] and log' = log - Store -> nextOf[w.base] -> Edit + Store -> nextOf[w.base] -> w.edit
  Sent' = Sent and sameNodes
}

pred poll[n: Node] {
  some Store.head
  no n.inForce or gt[Store.head, n.inForce]         // rule: rise
  inForce' = inForce ++ (n -> Store.head) and content' = content ++ (n -> Store.log[Store.head])
  sameStore and Sent' = Sent
}

pred push[n, m: Node] {
  some n.inForce
  no m.inForce or gt[n.inForce, m.inForce]          // rule: peer
  inForce' = inForce ++ (m -> n.inForce) and content' = content ++ (m -> n.content)
  sameStore and Sent' = Sent
}

pred restore {
  some v: Version | lt[v, Store.head] and head' = Store -> v
    and log' = log - (Store -> v.nexts -> Edit)
  sameNodes
  // A write sent before the restore is not still on its way after it.
  no Sent'
}

// What is in force is put back, one version at a time, from a node that has it.
pred putBack[n: Node] {
  some n.inForce and n.inForce = nextOf[Store.head]
  head' = Store -> n.inForce and log' = log - Store -> n.inForce -> Edit + Store -> n.inForce -> n.content
  Sent' = Sent and sameNodes
}

pred restart[n: Node] {
  inForce' = inForce - n -> Version and content' = content - n -> Edit and sameStore and Sent' = Sent
}

pred stutter { sameStore and sameNodes and Sent' = Sent }

pred step {
  (some w: Write | send[w] or take[w])
  or (some n: Node | poll[n] or putBack[n] or restart[n] or (some m: Node | push[n, m]))
  or restore or stutter
}

fact { init and always step }

assert NeverReverts {
  always all n: Node | (some n.inForce and some n.inForce') implies gte[n.inForce', n.inForce]
}
assert SameNumberSameContent {
  always all n, m: Node | (some n.inForce and n.inForce = m.inForce) implies n.content = m.content
}
assert AcceptedOnce { always all e: Edit | lone Store.log.e }

check NeverReverts for 2 Version, 3 Edit, 3 Write, 2 Node, 1..10 steps
check SameNumberSameContent for 2 Version, 3 Edit, 3 Write, 2 Node, 1..10 steps
check AcceptedOnce for 2 Version, 3 Edit, 3 Write, 2 Node, 1..10 steps

run Reached {
  eventually restore
  eventually (some n: Node | putBack[n])
  eventually (some n: Node | some n.inForce and n.inForce != first)
} for 2 Version, 3 Edit, 3 Write, 2 Node, 1..9 steps

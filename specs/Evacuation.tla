----------------------------- MODULE Evacuation -----------------------------
(***************************************************************************)
(* Orders to start and to end the evacuation of one data hall, as          *)
(* org.bankturn.publication and org.bankturn.daemon.group handle them.     *)
(* An operator sends an order to any control process until it is           *)
(* acknowledged, or gives it up and sends another one.  The process that   *)
(* receives a copy reads the index of the hall's last order in its own     *)
(* state, which may be old, and forwards the copy to the leader, where it  *)
(* may arrive at any later time, more than once, or never.  An order that  *)
(* was acknowledged must stay in force until the operator sends the next.  *)
(*                                                                         *)
(* The group that agrees is one sequence of states here; the module        *)
(* Agreement shows that it is.                                             *)
(***************************************************************************)
EXTENDS Naturals, Sequences, FiniteSets

CONSTANTS MaxOrders,        \* orders of the operator
          MaxSends,         \* copies sent of each order
          MaxEntries,       \* copies applied, in all
          Compare,          \* TRUE: a copy is compared with the last order (the design); FALSE: it always applies
          Renew,            \* TRUE: an order for the current state renews the index (the design); FALSE: it does not
          ThroughLog        \* TRUE: each acknowledgement needs a log entry (the design); FALSE: the local state may do

VARIABLES history,          \* the states after each entry: whether the hall is evacuated, and its last order's index
          copies,           \* copies on their way to the leader
          order             \* the operator's current order: number, wanted state, copies sent, whether acknowledged

vars == <<history, copies, order>>

Current == history[Len(history)]

Init ==
    /\ history = <<[evacuated |-> FALSE, index |-> 0]>>
    /\ copies = {}
    /\ order = [number |-> 0, start |-> FALSE, sends |-> MaxSends, acknowledged |-> FALSE]

\* The next order; the one before may be unacknowledged, with copies on their way.
Order(start) ==
    /\ order.number < MaxOrders
    /\ order' = [number |-> order.number + 1, start |-> start, sends |-> 0, acknowledged |-> FALSE]
    /\ UNCHANGED <<history, copies>>

\* A control process that has applied the entries up to k receives a copy.
Send(k) ==
    /\ order.number > 0 /\ ~order.acknowledged /\ order.sends < MaxSends
    /\ IF ~ThroughLog /\ history[k].evacuated = order.start
       THEN /\ order' = [order EXCEPT !.sends = @ + 1, !.acknowledged = TRUE]
            /\ UNCHANGED copies
       ELSE /\ order' = [order EXCEPT !.sends = @ + 1]
            /\ copies' = copies \cup {[number |-> order.number, start |-> order.start, seen |-> history[k].index]}
    /\ UNCHANGED history

TakesEffect(copy) == ~Compare \/ copy.start = Current.evacuated \/ copy.seen = Current.index

\* Copies stay, so that each may arrive again. The answer may be lost.
Apply(copy) ==
    LET renewed == [evacuated |-> copy.start, index |-> Len(history)]
        next == IF ~TakesEffect(copy) \/ (~Renew /\ copy.start = Current.evacuated) THEN Current ELSE renewed
        answered == TakesEffect(copy) /\ copy.number = order.number
    IN /\ Len(history) <= MaxEntries
       /\ history' = Append(history, next)
       /\ \E heard \in {TRUE, FALSE} :
              order' = [order EXCEPT !.acknowledged = @ \/ (answered /\ heard)]
       /\ UNCHANGED copies

Next ==
    \/ \E start \in BOOLEAN : Order(start)
    \/ \E k \in 1..Len(history) : Send(k)
    \/ \E copy \in copies : Apply(copy)

Spec == Init /\ [][Next]_vars

----------------------------------------------------------------------------
AcknowledgedIsInForce == order.acknowledged => Current.evacuated = order.start
============================================================================

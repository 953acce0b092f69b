------------------------------ MODULE SlowStart ------------------------------
(***************************************************************************)
(* Requests to one cold target, as org.bankturn.routing.ColdTarget and     *)
(* GatewayViews space them.  Gateways are chosen from the published ones:  *)
(* the Chosen first of the order 1, 2, ...  Each chosen gateway leaves     *)
(* Interval ticks between two requests.  A gateway that restarts forgets   *)
(* what it sent.  A gateway that is listed displaces one that comes after  *)
(* it; gateways hear of it at different times, and a view that is not      *)
(* confirmed for more than Ttl ticks does not count.                       *)
(***************************************************************************)
EXTENDS Naturals, FiniteSets

CONSTANTS Gateways, Chosen, Interval, Ttl, Window, Bound, MaxTime, MaxRestarts,
          Joining,        \* the gateways that are not listed at first
          WaitAfterStart, \* a gateway waits an interval after its start
          WaitAfterJoin,  \* a gateway that displaces another waits for its view to expire
          ViewsExpire     \* a view that is not confirmed does not count

Times == 0 .. MaxTime

VARIABLES now,
          listed,     \* the published gateways
          view,       \* by gateway: the published gateways as it knows them
          confirmed,  \* by gateway: when its view was current
          earliest,   \* by gateway: when it may send next
          sent,       \* by time: the requests that were sent
          restarts

vars == <<now, listed, view, confirmed, earliest, sent, restarts>>

Later(a, b) == IF a > b THEN a ELSE b

IsChosen(g, known) == g \in known /\ Cardinality({o \in known : o < g}) < Chosen

Init ==
    /\ now = 1
    /\ listed = Gateways \ Joining
    /\ view = [g \in Gateways |-> Gateways \ Joining]
    /\ confirmed = [g \in Gateways |-> 1]
    /\ earliest = [g \in Gateways |-> 1]
    /\ sent = [t \in Times |-> 0]
    /\ restarts = 0

Send(g) ==
    /\ IsChosen(g, view[g])
    /\ earliest[g] <= now
    /\ ViewsExpire => now - confirmed[g] <= Ttl
    /\ sent' = [sent EXCEPT ![now] = @ + 1]
    /\ earliest' = [earliest EXCEPT ![g] = now + Interval]
    /\ UNCHANGED <<now, listed, view, confirmed, restarts>>

\* What a gateway has sent is forgotten, and its first view shows it as listed.  A gateway that restarts just after it
\* joined also forgets that it has to wait for the one that it displaces; that case is not in this model, it is covered
\* by the tolerance of targets above the bound.
Restart(g) ==
    /\ restarts < MaxRestarts /\ g \notin Joining
    /\ restarts' = restarts + 1
    /\ earliest' = [earliest EXCEPT ![g] = IF WaitAfterStart THEN now + Interval ELSE now]
    /\ UNCHANGED <<now, listed, view, confirmed, sent>>

Join(g) ==
    /\ g \in Joining \ listed
    /\ listed' = listed \union {g}
    /\ UNCHANGED <<now, view, confirmed, earliest, sent, restarts>>

\* A gateway hears what is published now.
Hear(g) ==
    /\ confirmed[g] # now \/ view[g] # listed
    /\ view' = [view EXCEPT ![g] = listed]
    /\ confirmed' = [confirmed EXCEPT ![g] = now]
    /\ LET displaces == IsChosen(g, listed) /\ ~IsChosen(g, view[g])
           pause == IF WaitAfterJoin THEN Later(Interval, Ttl + 1) ELSE 0
       IN earliest' = [earliest EXCEPT ![g] = IF displaces THEN Later(@, now + pause) ELSE @]
    /\ UNCHANGED <<now, listed, sent, restarts>>

Tick ==
    /\ now < MaxTime
    /\ now' = now + 1
    /\ UNCHANGED <<listed, view, confirmed, earliest, sent, restarts>>

Next ==
    \/ Tick
    \/ \E g \in Gateways : Send(g) \/ Restart(g) \/ Join(g) \/ Hear(g)

Spec == Init /\ [][Next]_vars

RECURSIVE Sum(_, _)
Sum(from, to) == IF from > to THEN 0 ELSE sent[from] + Sum(from + 1, to)

\* In any window, each chosen gateway sends one request more than fits into the window at most.
WithinBound ==
    \A t \in Times :
        LET last == t + Window - 1
        IN Sum(t, IF last > MaxTime THEN MaxTime ELSE last) <= Bound
=============================================================================

------------------------------ MODULE Permits ------------------------------
(***************************************************************************)
(* Permits for requests to one rate-limited target, as                     *)
(* org.bankturn.routing.PermitCoordinator hands them out.  Coordinators 1  *)
(* and 2 are two gateways, one of which is responsible at a time; while    *)
(* that changes, gateways that have not heard of it ask the former one.    *)
(* A coordinator reserves times that are Pace apart, at most Ahead ticks   *)
(* ahead.  A permit may be used from its time on for Valid ticks, by any   *)
(* of many gateways, so that the requests of a window are at most the      *)
(* times reserved in it and in the Valid ticks before it.  A coordinator   *)
(* that is killed forgets all.                                             *)
(***************************************************************************)
EXTENDS Naturals

CONSTANTS Pace, Ahead, Valid, Window, Bound, MaxTime, MaxKills, MaxChanges,
          FreeInterval   \* a coordinator that knows nothing begins a Pace from now

Coordinators == {1, 2}
Times == 0 .. MaxTime

VARIABLES now,
          next,          \* by coordinator: the next time that it reserves, 0 if it knows nothing
          responsible,   \* the coordinator that is responsible
          former,        \* the one that gateways may still ask, or the same one
          reserved,      \* by time: the permits reserved for it
          kills, changes

vars == <<now, next, responsible, former, reserved, kills, changes>>

Init ==
    /\ now = 1
    /\ next = [c \in Coordinators |-> 0]
    /\ responsible = 1 /\ former = 1
    /\ reserved = [t \in Times |-> 0]
    /\ kills = 0 /\ changes = 0

Later(a, b) == IF a > b THEN a ELSE b

\* What a coordinator would reserve next.
Due(c) ==
    IF next[c] = 0
    THEN IF FreeInterval THEN now + Pace ELSE now
    ELSE Later(now, next[c])

Grant(c) ==
    /\ c \in {responsible, former}
    /\ Due(c) <= now + Ahead
    /\ Due(c) \in Times
    /\ reserved' = [reserved EXCEPT ![Due(c)] = @ + 1]
    /\ next' = [next EXCEPT ![c] = Due(c) + Pace]
    /\ UNCHANGED <<now, responsible, former, kills, changes>>

\* A coordinator that is asked for the first time learns of the limit, and may have nothing to give yet.
Learn(c) ==
    /\ c \in {responsible, former} /\ next[c] = 0 /\ FreeInterval
    /\ next' = [next EXCEPT ![c] = now + Pace]
    /\ UNCHANGED <<now, responsible, former, reserved, kills, changes>>

Kill(c) ==
    /\ kills < MaxKills /\ next[c] # 0
    /\ kills' = kills + 1
    /\ next' = [next EXCEPT ![c] = 0]
    /\ UNCHANGED <<now, responsible, former, reserved, changes>>

Change ==
    /\ changes < MaxChanges /\ former = responsible
    /\ changes' = changes + 1
    /\ responsible' = 3 - responsible
    /\ UNCHANGED <<now, next, former, reserved, kills>>

\* Within a tick every gateway has heard who is responsible.
Tick ==
    /\ now < MaxTime
    /\ now' = now + 1
    /\ former' = responsible
    /\ UNCHANGED <<next, responsible, reserved, kills, changes>>

Next ==
    \/ Tick \/ Change
    \/ \E c \in Coordinators : Grant(c) \/ Learn(c) \/ Kill(c)

Spec == Init /\ [][Next]_vars

RECURSIVE Sum(_, _)
Sum(from, to) == IF from > to THEN 0 ELSE reserved[from] + Sum(from + 1, to)

WithinBound ==
    \A t \in Times :
        LET last == t + Valid + Window - 1
        IN Sum(t, IF last > MaxTime THEN MaxTime ELSE last) <= Bound
=============================================================================

------------------------------ MODULE Registry ------------------------------
(***************************************************************************)
(* The list of targets as org.bankturn.registry.TargetRegistry keeps it:   *)
(* a target says that it is ready, later that it drains, then that it      *)
(* leaves; or it is taken off because nobody hears it.  Its calls may be   *)
(* late, doubled and out of order, and each is acknowledged once the list  *)
(* holds it.  Whoever was told that a target drains or has left must never *)
(* see it ready again.                                                     *)
(*                                                                         *)
(* The group that agrees on the list is one register here; the module      *)
(* Agreement shows that it is.                                             *)
(***************************************************************************)
EXTENDS Naturals, FiniteSets

CONSTANTS Targets,          \* incarnations, model values
          MaxBeats,         \* heartbeats of each target explored
          SequenceGuard,    \* TRUE: older heartbeats change nothing (the design); FALSE: seeded fault
          DepartureGuard    \* TRUE: who has left is remembered (the design); FALSE: seeded fault

VARIABLES sent,             \* heartbeats sent by each target
          draining,         \* the number of a target's first draining heartbeat, 0 for none
          leaving,          \* targets that have sent that they leave
          messages,         \* heartbeats on their way: target, number, whether it drains
          listed,           \* targets on the list, with the newest number taken in and whether they drain
          departed,         \* targets taken off, with the newest number then and whether they said so
          toldDraining,     \* targets whose draining heartbeat was acknowledged
          toldGone          \* targets whose leave was acknowledged

vars == <<sent, draining, leaving, messages, listed, departed, toldDraining, toldGone>>

Unlisted == [number |-> 0, drains |-> FALSE, on |-> FALSE]
Present == [number |-> 0, byItself |-> FALSE, off |-> FALSE]

Init ==
    /\ sent = [t \in Targets |-> 0]
    /\ draining = [t \in Targets |-> 0]
    /\ leaving = {}
    /\ messages = {}
    /\ listed = [t \in Targets |-> Unlisted]
    /\ departed = [t \in Targets |-> Present]
    /\ toldDraining = {} /\ toldGone = {}

SendHeartbeat(t) ==
    /\ t \notin leaving /\ sent[t] < MaxBeats
    /\ sent' = [sent EXCEPT ![t] = @ + 1]
    /\ messages' = messages \cup {<<t, sent[t] + 1, draining[t] # 0>>}
    /\ UNCHANGED <<draining, leaving, listed, departed, toldDraining, toldGone>>

BeginDraining(t) ==
    /\ t \notin leaving /\ draining[t] = 0 /\ sent[t] < MaxBeats
    /\ draining' = [draining EXCEPT ![t] = sent[t] + 1]
    /\ sent' = [sent EXCEPT ![t] = @ + 1]
    /\ messages' = messages \cup {<<t, sent[t] + 1, TRUE>>}
    /\ UNCHANGED <<leaving, listed, departed, toldDraining, toldGone>>

Leave(t) ==
    /\ t \notin leaving
    /\ leaving' = leaving \cup {t}
    /\ UNCHANGED <<sent, draining, messages, listed, departed, toldDraining, toldGone>>

\* A heartbeat is taken in unless it is old, or the target has left; a target that drains drains for good.
Taken(t, number) ==
    /\ ~(DepartureGuard /\ departed[t].off /\ (departed[t].byItself \/ number <= departed[t].number))
    /\ ~(SequenceGuard /\ listed[t].on /\ number <= listed[t].number)

OnHeartbeat(m) ==
    LET t == m[1]
        stays == SequenceGuard /\ listed[t].on /\ listed[t].drains
    IN /\ IF Taken(t, m[2])
          THEN /\ listed' = [listed EXCEPT ![t] = [number |-> m[2], drains |-> m[3] \/ stays, on |-> TRUE]]
               /\ departed' = [departed EXCEPT ![t] = Present]
          ELSE UNCHANGED <<listed, departed>>
       /\ toldDraining' = toldDraining \cup (IF m[3] THEN {t} ELSE {})
       /\ UNCHANGED <<sent, draining, leaving, messages, toldGone>>

TakeOff(t, byItself) ==
    /\ listed' = [listed EXCEPT ![t] = Unlisted]
    /\ departed' = [departed EXCEPT ![t] = [number |-> listed[t].number, byItself |-> byItself, off |-> TRUE]]

OnLeave(t) ==
    /\ t \in leaving /\ t \notin toldGone
    /\ TakeOff(t, TRUE)
    /\ toldGone' = toldGone \cup {t}
    /\ UNCHANGED <<sent, draining, leaving, messages, toldDraining>>

\* Nobody heard it for long; it may still be there.
TakeOffSilent(t) ==
    /\ listed[t].on
    /\ TakeOff(t, FALSE)
    /\ UNCHANGED <<sent, draining, leaving, messages, toldDraining, toldGone>>

Next ==
    \/ \E t \in Targets :
        SendHeartbeat(t) \/ BeginDraining(t) \/ Leave(t) \/ OnLeave(t) \/ TakeOffSilent(t)
    \/ \E m \in messages : OnHeartbeat(m)

Spec == Init /\ [][Next]_vars

----------------------------------------------------------------------------
ToldDrainingStays == \A t \in toldDraining : listed[t].on => listed[t].drains

ToldGoneStays == \A t \in toldGone : ~listed[t].on
============================================================================

------------------------------ MODULE Registry ------------------------------
(***************************************************************************)
(* The list of targets as org.bankturn.registry.TargetRegistry keeps it:   *)
(* a target says that it is ready, later that it drains, then that it      *)
(* leaves; or it is taken off because nobody hears it.  It may start again *)
(* under its name, and then counts its heartbeats anew.  Its calls may be  *)
(* late, doubled and out of order, and each is acknowledged once the list  *)
(* holds it.  Whoever was told that a start drains or has left must never  *)
(* see it ready again, and whoever was told of a later start must never    *)
(* see the former one.                                                     *)
(*                                                                         *)
(* A target may be told as well by its address alone, where each start has *)
(* another name and nothing in two words tells which is newer.  Then a     *)
(* word that another start disputes is recorded only if the address, asked *)
(* by name, is that start's.                                               *)
(*                                                                         *)
(* The group that agrees on the list is one register here; the module      *)
(* Agreement shows that it is.                                             *)
(***************************************************************************)
EXTENDS Naturals, FiniteSets

CONSTANTS Targets,          \* names, model values
          MaxStarts,        \* starts of each target explored
          MaxBeats,         \* heartbeats of each start explored
          StartGuard,       \* TRUE: a later start wins over any number (the design); FALSE: seeded fault
          KnowsOrder,       \* TRUE: starts tell when they were born; FALSE: they only share an address
          LookGuard,        \* TRUE: a disputed address is asked who is there (the design); FALSE: seeded fault
          FormerGuard,      \* TRUE: a start that leaves takes the former ones off (the design); FALSE: seeded fault
          SequenceGuard,    \* TRUE: older heartbeats change nothing (the design); FALSE: seeded fault
          DepartureGuard    \* TRUE: who has left is remembered (the design); FALSE: seeded fault

Starts == 1..MaxStarts

VARIABLES start,            \* the present start of each target
          sent,             \* heartbeats sent by it
          draining,         \* the number of its first draining heartbeat, 0 for none
          leaving,          \* starts that have sent that they leave
          messages,         \* heartbeats on their way: target, start, number, whether it drains
          listed,           \* targets on the list: the start, its newest number taken in and whether it drains
          departed,         \* by start: whether it was taken off, the newest number then, whether it said so
          toldStart,        \* by target: the latest start of which a heartbeat was acknowledged
          toldDraining,     \* starts whose draining heartbeat was acknowledged
          toldGone          \* starts whose leave was acknowledged

vars == <<start, sent, draining, leaving, messages, listed, departed, toldStart, toldDraining, toldGone>>

Unlisted == [start |-> 0, number |-> 0, drains |-> FALSE, on |-> FALSE]
Present == [number |-> 0, byItself |-> FALSE, off |-> FALSE, since |-> 0]

Init ==
    /\ start = [t \in Targets |-> 1]
    /\ sent = [t \in Targets |-> 0]
    /\ draining = [t \in Targets |-> 0]
    /\ leaving = {}
    /\ messages = {}
    /\ listed = [t \in Targets |-> Unlisted]
    /\ departed = [s \in Targets \X Starts |-> Present]
    /\ toldStart = [t \in Targets |-> 0]
    /\ toldDraining = {} /\ toldGone = {}

SendHeartbeat(t) ==
    /\ <<t, start[t]>> \notin leaving /\ sent[t] < MaxBeats
    /\ sent' = [sent EXCEPT ![t] = @ + 1]
    /\ messages' = messages \cup {<<t, start[t], sent[t] + 1, draining[t] # 0>>}
    /\ UNCHANGED <<start, draining, leaving, listed, departed, toldStart, toldDraining, toldGone>>

BeginDraining(t) ==
    /\ <<t, start[t]>> \notin leaving /\ draining[t] = 0 /\ sent[t] < MaxBeats
    /\ draining' = [draining EXCEPT ![t] = sent[t] + 1]
    /\ sent' = [sent EXCEPT ![t] = @ + 1]
    /\ messages' = messages \cup {<<t, start[t], sent[t] + 1, TRUE>>}
    /\ UNCHANGED <<start, leaving, listed, departed, toldStart, toldDraining, toldGone>>

Leave(t) ==
    /\ <<t, start[t]>> \notin leaving
    /\ leaving' = leaving \cup {<<t, start[t]>>}
    /\ UNCHANGED <<start, sent, draining, messages, listed, departed, toldStart, toldDraining, toldGone>>

\* It ends, as planned or not, and starts again under its name.
StartAgain(t) ==
    /\ start[t] < MaxStarts
    /\ start' = [start EXCEPT ![t] = @ + 1]
    /\ sent' = [sent EXCEPT ![t] = 0]
    /\ draining' = [draining EXCEPT ![t] = 0]
    /\ UNCHANGED <<leaving, messages, listed, departed, toldStart, toldDraining, toldGone>>

\* A word of a start after which a later one was heard of.
IsOfFormerStart(t, s) ==
    \/ listed[t].on /\ listed[t].start > s
    \/ \E later \in Starts : later > s /\ departed[<<t, later>>].off

\* With the guard a number is compared with those of its own start only, without it with any.
IsOld(t, s, number) ==
    listed[t].on /\ (~StartGuard \/ listed[t].start = s) /\ number <= listed[t].number

\* Another start is there, or was taken off later than this one was.
IsDisputed(t, s) ==
    \/ listed[t].on /\ listed[t].start # s
    \/ ~listed[t].on /\ \E other \in Starts :
           other # s /\ departed[<<t, other>>].off /\ departed[<<t, other>>].since > departed[<<t, s>>].since

\* The address answers by the name of the present start.
IsSettled(t, s) == ~LookGuard \/ s = start[t]

MayStand(t, s) ==
    IF KnowsOrder THEN ~(StartGuard /\ IsOfFormerStart(t, s))
    ELSE ~IsDisputed(t, s) \/ IsSettled(t, s)

\* A heartbeat is taken in unless it is old, or the start has left; a start that drains drains for good.
Taken(t, s, number) ==
    /\ MayStand(t, s)
    /\ ~(DepartureGuard /\ departed[<<t, s>>].off
            /\ (departed[<<t, s>>].byItself \/ number <= departed[<<t, s>>].number))
    /\ ~(SequenceGuard /\ IsOld(t, s, number))

\* Departures of a target are counted, so that it shows which was the last.
NextDeparture(t) ==
    LET counts == {departed[<<t, s>>].since : s \in Starts}
    IN 1 + (CHOOSE most \in counts : \A other \in counts : other <= most)

OnHeartbeat(m) ==
    LET t == m[1]
        s == m[2]
        stays == SequenceGuard /\ listed[t].on /\ listed[t].start = s /\ listed[t].drains
        replaced == listed[t].on /\ listed[t].start # s
    IN /\ IF Taken(t, s, m[3])
          THEN /\ listed' = [listed EXCEPT ![t] =
                                [start |-> s, number |-> m[3], drains |-> m[4] \/ stays, on |-> TRUE]]
               /\ departed' = [d \in DOMAIN departed |->
                                IF d = <<t, s>> THEN Present
                                ELSE IF replaced /\ d = <<t, listed[t].start>>
                                     THEN [number |-> listed[t].number, byItself |-> FALSE, off |-> TRUE,
                                           since |-> NextDeparture(t)]
                                     ELSE departed[d]]
          ELSE UNCHANGED <<listed, departed>>
       \* by addresses alone, a start that left before it was listed cannot be related to the former one
       /\ toldStart' = [toldStart EXCEPT ![t] = IF s > @ /\ (KnowsOrder \/ Taken(t, s, m[3])) THEN s ELSE @]
       /\ toldDraining' = toldDraining \cup (IF m[4] THEN {<<t, s>>} ELSE {})
       /\ UNCHANGED <<start, sent, draining, leaving, messages, toldGone>>

\* A start that leaves shows that the former ones have ended.
TakeOff(t, s, byItself) ==
    LET isListed == listed[t].on /\ listed[t].start = s
        isFormer == FormerGuard /\ KnowsOrder /\ listed[t].on /\ listed[t].start < s
        number == IF isListed THEN listed[t].number ELSE 0
    IN /\ listed' = IF isListed \/ isFormer THEN [listed EXCEPT ![t] = Unlisted] ELSE listed
       /\ departed' = [departed EXCEPT ![<<t, s>>] = [number |-> number, byItself |-> byItself, off |-> TRUE,
                                                     since |-> NextDeparture(t)]]

OnLeave(t, s) ==
    /\ <<t, s>> \in leaving /\ <<t, s>> \notin toldGone
    /\ TakeOff(t, s, TRUE)
    /\ toldGone' = toldGone \cup {<<t, s>>}
    /\ UNCHANGED <<start, sent, draining, leaving, messages, toldStart, toldDraining>>

\* Nobody heard it for long; it may still be there.
TakeOffSilent(t) ==
    /\ listed[t].on
    /\ TakeOff(t, listed[t].start, FALSE)
    /\ UNCHANGED <<start, sent, draining, leaving, messages, toldStart, toldDraining, toldGone>>

Next ==
    \/ \E t \in Targets :
        SendHeartbeat(t) \/ BeginDraining(t) \/ Leave(t) \/ StartAgain(t) \/ TakeOffSilent(t)
    \/ \E t \in Targets, s \in Starts : OnLeave(t, s)
    \/ \E m \in messages : OnHeartbeat(m)

Spec == Init /\ [][Next]_vars

----------------------------------------------------------------------------
IsReady(t, s) == listed[t].on /\ listed[t].start = s /\ ~listed[t].drains

ToldDrainingStays == \A d \in toldDraining : ~IsReady(d[1], d[2])

ToldGoneStays == \A g \in toldGone : ~(listed[g[1]].on /\ listed[g[1]].start = g[2])

LaterStartStays == \A t \in Targets : listed[t].on => listed[t].start >= toldStart[t]
============================================================================

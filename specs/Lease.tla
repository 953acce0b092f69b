------------------------------- MODULE Lease -------------------------------
(***************************************************************************)
(* Leases and fences for the orders to one box's engine, as                *)
(* org.bankturn.lease and EngineOrders do it.  Processes 1 and 2 are two   *)
(* starts of the target process on the box.  A process may be frozen       *)
(* between checking its lease and sending its order (time passes in        *)
(* "sending"), and an order may lie on its way for up to Transit ticks.    *)
(* Time is that of the control boxes; clock drift is the tick that the     *)
(* leader waits longer and the tick that the holder stops earlier.         *)
(***************************************************************************)
EXTENDS Naturals, Sequences

CONSTANTS Duration, Transit, MaxTime, MaxFence,
          EngineChecks,   \* the engine refuses an order whose fence is older than one it has seen
          PortGuard,      \* the box's node port is taken by one process at a time
          SettleGuard,    \* no new lease and no release while an own order may still be taken up
          StartGuard,     \* a process waits for Transit after its start before its first order
          WaitOut         \* the leader waits out an unreleased lease of another holder

Processes == {1, 2}

VARIABLES now,
          alive,      \* processes that run, frozen or not
          state,      \* by process: "off", "idle", "asking", "holding", "sending"
          started,    \* by process: when it started, 0 for the first
          asked,      \* by process: when it asked for its lease
          fence,      \* by process: the fence of its lease
          holder, granted, lastFence,    \* the agreed lease: who (0: released), when, and the newest fence
          inTransit,  \* orders on their way: <<fence, sent, process>>
          carriedOut  \* fences of the orders that the engine carried out, in order

vars == <<now, alive, state, started, asked, fence, holder, granted, lastFence, inTransit, carriedOut>>

Init ==
    /\ now = 0 /\ alive = {1}
    /\ state = [p \in Processes |-> IF p = 1 THEN "idle" ELSE "off"]
    /\ started = [p \in Processes |-> 0]
    /\ asked = [p \in Processes |-> 0] /\ fence = [p \in Processes |-> 0]
    /\ holder = 0 /\ granted = 0 /\ lastFence = 0
    /\ inTransit = {} /\ carriedOut = <<>>

\* Time passes; an order is taken up within Transit of being sent, or not at all.
Tick ==
    /\ now < MaxTime
    /\ now' = now + 1
    /\ inTransit' = {o \in inTransit : now + 1 <= o[2] + Transit}
    /\ UNCHANGED <<alive, state, started, asked, fence, holder, granted, lastFence, carriedOut>>

Start(p) ==
    /\ p = 2 /\ state[p] = "off"
    /\ PortGuard => alive = {}
    /\ alive' = alive \cup {p}
    /\ state' = [state EXCEPT ![p] = "idle"]
    /\ started' = [started EXCEPT ![p] = now]
    /\ UNCHANGED <<now, asked, fence, holder, granted, lastFence, inTransit, carriedOut>>

Die(p) ==
    /\ p \in alive
    /\ alive' = alive \ {p}
    /\ state' = [state EXCEPT ![p] = "dead"]
    /\ UNCHANGED <<now, started, asked, fence, holder, granted, lastFence, inTransit, carriedOut>>

Settled(p) == \A o \in inTransit : o[3] # p

\* A process asks for its next lease only once its last order was answered or can no longer be taken up.
\* A successor waits until no order of a process that died before it started can still be taken up.
StartSettled(p) == started[p] = 0 \/ now > started[p] + Transit \/ ~StartGuard

Ask(p) ==
    /\ state[p] = "idle" /\ StartSettled(p) /\ (Settled(p) \/ ~SettleGuard)
    /\ state' = [state EXCEPT ![p] = "asking"]
    /\ asked' = [asked EXCEPT ![p] = now]
    /\ UNCHANGED <<now, alive, started, fence, holder, granted, lastFence, inTransit, carriedOut>>

Acquire(p) ==
    /\ state[p] = "asking" /\ lastFence < MaxFence
    /\ holder \in {0, p} \/ ~WaitOut \/ now > granted + Duration
    /\ lastFence' = lastFence + 1
    /\ holder' = p /\ granted' = now
    /\ fence' = [fence EXCEPT ![p] = lastFence + 1]
    /\ state' = [state EXCEPT ![p] = "holding"]
    /\ UNCHANGED <<now, alive, started, asked, inTransit, carriedOut>>

\* A lease is given up early only once its order was answered.
Release(p) ==
    /\ state[p] = "idle" /\ holder = p /\ (Settled(p) \/ ~SettleGuard)
    /\ holder' = 0
    /\ UNCHANGED <<now, alive, state, started, asked, fence, granted, lastFence, inTransit, carriedOut>>

\* The holder counts from before it asked, and leaves room for the order's way.
CheckValid(p) ==
    /\ state[p] = "holding"
    /\ state' = [state EXCEPT ![p] = IF now + Transit < asked[p] + Duration THEN "sending" ELSE "idle"]
    /\ UNCHANGED <<now, alive, started, asked, fence, holder, granted, lastFence, inTransit, carriedOut>>

Give(p) ==
    /\ state[p] = "sending"
    /\ inTransit' = inTransit \cup {<<fence[p], now, p>>}
    /\ state' = [state EXCEPT ![p] = "idle"]
    /\ UNCHANGED <<now, alive, started, asked, fence, holder, granted, lastFence, carriedOut>>

Highest == IF carriedOut = <<>> THEN 0 ELSE carriedOut[Len(carriedOut)]

CarryOut(o) ==
    /\ o \in inTransit /\ Len(carriedOut) < 3
    /\ inTransit' = inTransit \ {o}
    /\ carriedOut' = IF EngineChecks /\ o[1] < Highest THEN carriedOut ELSE Append(carriedOut, o[1])
    /\ UNCHANGED <<now, alive, state, started, asked, fence, holder, granted, lastFence>>

Next ==
    \/ Tick
    \/ \E p \in Processes : Start(p) \/ Die(p) \/ Ask(p) \/ Acquire(p) \/ Release(p) \/ CheckValid(p) \/ Give(p)
    \/ \E o \in inTransit : CarryOut(o)

Spec == Init /\ [][Next]_vars

\* No engine carries out an older order after a newer one.
OrdersOnlyAdvance == \A i, j \in 1 .. Len(carriedOut) : i < j => carriedOut[i] <= carriedOut[j]
============================================================================

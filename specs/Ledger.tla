------------------------------- MODULE Ledger ------------------------------
(***************************************************************************)
(* One keyed request that must run at most once, as                        *)
(* org.bankturn.ledger.RequestLedger and the entry role do it.  The ledger *)
(* is agreed (see Agreement.tla), so each step on it is one step here.     *)
(* Every attempt belongs to one entry process; answers of the ledger may   *)
(* be lost, entry processes may die at any moment, callers may retry       *)
(* through any other, a target process may restart and forget, and a       *)
(* message may be doubled on the connection that it came over.             *)
(***************************************************************************)
EXTENDS Naturals, FiniteSets

CONSTANTS Attempts, Targets, MaxRestarts,
          ClaimGuard,   \* TRUE: a running claim is never granted again (the design); FALSE: seeded fault
          ProofGuard    \* TRUE: a claim is released only with proof of not having run; FALSE: seeded fault

VARIABLES claim,      \* [state, by]: "none", "running", "answered", "unknown"
          step,       \* by attempt: where its entry process is
          at,         \* by attempt: the target that it was sent to, 0 for none
          inFlight,   \* dispatched messages: <<attempt, target, connection>>
          seen,       \* by target: attempts that its process remembers
          starts,     \* by target: how often it has started
          runs,       \* history: <<attempt, target, run>>
          told        \* history: by attempt, what its caller was told

vars == <<claim, step, at, inFlight, seen, starts, runs, told>>

Init ==
    /\ claim = [state |-> "none", by |-> 0]
    /\ step = [a \in Attempts |-> "new"]
    /\ at = [a \in Attempts |-> 0]
    /\ inFlight = {} /\ seen = [t \in Targets |-> {}] /\ starts = [t \in Targets |-> 1]
    /\ runs = {} /\ told = [a \in Attempts |-> "nothing"]

\* The claim reaches the ledger; whether the entry process hears of it is another matter.
ClaimRequest(a) ==
    /\ step[a] = "new"
    /\ \/ /\ claim.state = "none" \/ (~ClaimGuard /\ claim.state = "running")
          /\ claim' = [state |-> "running", by |-> a]
          /\ step' = [step EXCEPT ![a] = "granted"]
          /\ UNCHANGED told
       \/ /\ claim.state = "running" /\ ClaimGuard
          /\ step' = [step EXCEPT ![a] = "done"]
          /\ told' = [told EXCEPT ![a] = "in progress"]
          /\ UNCHANGED claim
       \/ /\ claim.state \in {"answered", "unknown"}
          /\ step' = [step EXCEPT ![a] = "done"]
          /\ told' = [told EXCEPT ![a] = claim.state]
          /\ UNCHANGED claim
    /\ UNCHANGED <<at, inFlight, seen, starts, runs>>

\* The claim's answer did not come in time: the caller is told that nothing ran; the claim is released later, if at all.
GiveUpOnClaim(a) ==
    /\ step[a] \in {"new", "granted"}
    /\ step' = [step EXCEPT ![a] = "releasing"]
    /\ told' = [told EXCEPT ![a] = "not run"]
    /\ UNCHANGED <<claim, at, inFlight, seen, starts, runs>>

Dispatch(a, t) ==
    /\ step[a] = "granted"
    /\ step' = [step EXCEPT ![a] = "sent"]
    /\ at' = [at EXCEPT ![a] = t]
    /\ inFlight' = inFlight \cup {<<a, t, starts[t]>>}
    /\ UNCHANGED <<claim, seen, starts, runs, told>>

\* The target process runs an attempt once; the message stays, as it may be doubled on its connection.
Run(a, t) ==
    /\ <<a, t, starts[t]>> \in inFlight /\ a \notin seen[t]
    /\ seen' = [seen EXCEPT ![t] = @ \cup {a}]
    /\ runs' = runs \cup {<<a, t, Cardinality(runs)>>}
    /\ UNCHANGED <<claim, step, at, inFlight, starts, told>>

\* The target process turns the attempt away before its engine sees it, and so will it any double of it.
Reject(a, t) ==
    /\ <<a, t, starts[t]>> \in inFlight /\ a \notin seen[t] /\ step[a] = "sent" /\ at[a] = t
    /\ seen' = [seen EXCEPT ![t] = @ \cup {a}]
    /\ step' = [step EXCEPT ![a] = "rejected"]
    /\ UNCHANGED <<claim, at, inFlight, starts, runs, told>>

\* With proof of not having run, another target may be tried under the same claim, or the claim is released.
TryAnother(a, t) ==
    /\ step[a] = "rejected" /\ t # at[a]
    /\ step' = [step EXCEPT ![a] = "sent"]
    /\ at' = [at EXCEPT ![a] = t]
    /\ inFlight' = inFlight \cup {<<a, t, starts[t]>>}
    /\ UNCHANGED <<claim, seen, starts, runs, told>>

TellNotRun(a) ==
    /\ step[a] = "rejected"
    /\ step' = [step EXCEPT ![a] = "releasing"]
    /\ told' = [told EXCEPT ![a] = "not run"]
    /\ UNCHANGED <<claim, at, inFlight, seen, starts, runs>>

ReleaseClaim(a) ==
    /\ step[a] = "releasing" \/ (~ProofGuard /\ step[a] = "sent")
    /\ step' = [step EXCEPT ![a] = "done"]
    /\ claim' = IF claim = [state |-> "running", by |-> a] THEN [state |-> "none", by |-> 0] ELSE claim
    /\ UNCHANGED <<at, inFlight, seen, starts, runs, told>>

RecordAnswer(a) ==
    /\ step[a] = "sent" /\ \E n \in 0 .. 9 : <<a, at[a], n>> \in runs
    /\ step' = [step EXCEPT ![a] = "done"]
    /\ claim' = IF claim = [state |-> "running", by |-> a] THEN [state |-> "answered", by |-> a] ELSE claim
    /\ told' = [told EXCEPT ![a] = "answered"]
    /\ UNCHANGED <<at, inFlight, seen, starts, runs>>

\* The connection broke or time ran out after bytes may have left: unknown, for good.
RecordUnknown(a) ==
    /\ step[a] = "sent"
    /\ step' = [step EXCEPT ![a] = "done"]
    /\ claim' = IF claim = [state |-> "running", by |-> a] THEN [state |-> "unknown", by |-> a] ELSE claim
    /\ told' = [told EXCEPT ![a] = "unknown"]
    /\ UNCHANGED <<at, inFlight, seen, starts, runs>>

EntryDies(a) ==
    /\ step[a] \in {"new", "granted", "sent", "rejected", "releasing"}
    /\ step' = [step EXCEPT ![a] = "dead"]
    /\ UNCHANGED <<claim, at, inFlight, seen, starts, runs, told>>

\* The claim's deadline passes by the leader's clock.
Overdue ==
    /\ claim.state = "running"
    /\ claim' = [claim EXCEPT !.state = IF ClaimGuard THEN "unknown" ELSE "none"]
    /\ UNCHANGED <<step, at, inFlight, seen, starts, runs, told>>

\* A restart forgets what was seen, and breaks every connection.
TargetRestarts(t) ==
    /\ starts[t] <= MaxRestarts
    /\ starts' = [starts EXCEPT ![t] = @ + 1]
    /\ seen' = [seen EXCEPT ![t] = {}]
    /\ UNCHANGED <<claim, step, at, inFlight, runs, told>>

Next ==
    \/ \E a \in Attempts :
        \/ ClaimRequest(a) \/ GiveUpOnClaim(a) \/ TellNotRun(a) \/ ReleaseClaim(a)
        \/ RecordAnswer(a) \/ RecordUnknown(a) \/ EntryDies(a)
        \/ \E t \in Targets : Dispatch(a, t) \/ Run(a, t) \/ Reject(a, t) \/ TryAnother(a, t)
    \/ Overdue
    \/ \E t \in Targets : TargetRestarts(t)

Spec == Init /\ [][Next]_vars

----------------------------------------------------------------------------
AtMostOnce == Cardinality(runs) <= 1

NotRunIsTrue == \A a \in Attempts : told[a] = "not run" => ~\E r \in runs : r[1] = a

AnsweredMeansRun == \A a \in Attempts : told[a] = "answered" => Cardinality(runs) = 1
============================================================================

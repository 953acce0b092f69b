------------------------------ MODULE Suspects ------------------------------
(***************************************************************************)
(* How gateways and the control group hold against a request that targets *)
(* ended under it, as org.bankturn.crash does it.  Gateways see ends and   *)
(* whole runs, their reports are late and doubled, and each restarts with  *)
(* nothing but what is published.  A request that ends its targets must    *)
(* not be sent again once three ends are agreed and every gateway knows    *)
(* it, but for the trials; a request that ends none must not be condemned  *)
(* for fewer ends than it was under way at.                                *)
(*                                                                         *)
(* The group that agrees is one register here; the module Agreement shows  *)
(* that it is.                                                             *)
(***************************************************************************)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS Gateways,         \* model values
          Targets,          \* incarnations, model values
          Deadly,           \* TRUE: the request ends each target; FALSE: targets end without its doing
          MostTrials,       \* trials of a condemned request, in all
          CountTargets,     \* TRUE: an incarnation counts once (the design); FALSE: each report counts, a seeded fault
          AgreeTrials       \* TRUE: the group grants trials (the design); FALSE: each gateway by itself, a seeded fault

VARIABLES up,               \* targets that run
          runs,             \* sends under way: gateway, target, whether it is a trial
          seen,             \* by gateway: ends that it saw and that are not published to it yet
          reports,          \* reports on their way: gateway, target; each may be taken in twice
          agreed,           \* what the group holds: ends, and the number of trials granted
          published,        \* by gateway: the same, as it knows it
          tries,            \* by gateway: trials that it took
          underWayAt,       \* ended targets at which the request was under way
          late              \* sends begun after every gateway knew that the request is condemned

vars == <<up, runs, seen, reports, agreed, published, tries, underWayAt, late>>

Condemning == 3

Ends(s) == IF CountTargets THEN Cardinality({r[2] : r \in s}) ELSE Cardinality(s)
Condemned(s) == Ends(s) >= Condemning
Known(g) == published[g].ends \cup seen[g]
AllKnow == \A g \in Gateways : Condemned(published[g].ends)

Init ==
    /\ up = Targets
    /\ runs = {}
    /\ seen = [g \in Gateways |-> {}]
    /\ reports = {}
    /\ agreed = [ends |-> {}, trials |-> 0]
    /\ published = [g \in Gateways |-> [ends |-> {}, trials |-> 0]]
    /\ tries = [g \in Gateways |-> 0]
    /\ underWayAt = {}
    /\ late = 0

Begin(g, t, trial) ==
    /\ runs' = runs \cup {<<g, t, trial>>}
    /\ late' = IF AllKnow THEN late + 1 ELSE late

Send(g, t) ==
    /\ t \in up /\ ~Condemned(Known(g)) /\ <<g, t, FALSE>> \notin runs
    /\ Begin(g, t, FALSE)
    /\ UNCHANGED <<up, seen, reports, agreed, published, tries, underWayAt>>

\* A trial: the group grants it to one gateway, which alone may send.
Try(g, t) ==
    /\ t \in up /\ Condemned(published[g].ends)
    /\ IF AgreeTrials
       THEN /\ agreed.trials < MostTrials
            /\ agreed' = [agreed EXCEPT !.trials = @ + 1]
            /\ UNCHANGED tries
       ELSE /\ tries[g] < MostTrials
            /\ tries' = [tries EXCEPT ![g] = @ + 1]
            /\ UNCHANGED agreed
    /\ Begin(g, t, TRUE)
    /\ UNCHANGED <<up, seen, reports, published, underWayAt>>

\* A target ends; each gateway that has the request there sees it, all others do not.
End(t) ==
    LET there == {r \in runs : r[2] = t}
        watching == {r[1] : r \in there}
    IN /\ t \in up
       /\ Deadly => there # {}
       /\ up' = up \ {t}
       /\ runs' = runs \ there
       /\ seen' = [g \in Gateways |-> IF g \in watching THEN seen[g] \cup {<<g, t>>} ELSE seen[g]]
       /\ reports' = reports \cup {<<g, t>> : g \in watching}
       /\ underWayAt' = IF there = {} THEN underWayAt ELSE underWayAt \cup {t}
       /\ UNCHANGED <<agreed, published, tries, late>>

\* Reports stay, so that each may be taken in again.
Agree(r) ==
    /\ r \in reports /\ r \notin agreed.ends
    /\ agreed' = [agreed EXCEPT !.ends = @ \cup {r}]
    /\ UNCHANGED <<up, runs, seen, reports, published, tries, underWayAt, late>>

\* What a gateway hears stops what it has under way, trials apart.
Publish(g) ==
    /\ published[g] # agreed
    /\ published' = [published EXCEPT ![g] = agreed]
    /\ seen' = [seen EXCEPT ![g] = @ \ agreed.ends]
    /\ runs' = IF Condemned(agreed.ends) THEN {r \in runs : r[1] # g \/ r[3]} ELSE runs
    /\ UNCHANGED <<up, reports, agreed, tries, underWayAt, late>>

\* A gateway starts again and serves only once it is published to.
Restart(g) ==
    /\ published' = [published EXCEPT ![g] = agreed]
    /\ seen' = [seen EXCEPT ![g] = {}]
    /\ runs' = {r \in runs : r[1] # g}
    /\ UNCHANGED <<up, reports, agreed, tries, underWayAt, late>>

Next ==
    \/ \E g \in Gateways, t \in Targets : Send(g, t) \/ Try(g, t)
    \/ \E t \in Targets : End(t)
    \/ \E r \in reports : Agree(r)
    \/ \E g \in Gateways : Publish(g) \/ Restart(g)

Spec == Init /\ [][Next]_vars

Symmetry == Permutations(Targets) \cup Permutations(Gateways)

----------------------------------------------------------------------------
OnlyTrialsOnceAllKnow == late <= MostTrials

CondemnedOnlyAfterThreeEnds == Condemned(agreed.ends) => Cardinality(underWayAt) >= Condemning
============================================================================

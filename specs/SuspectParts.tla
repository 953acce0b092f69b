---------------------------- MODULE SuspectParts ----------------------------
(***************************************************************************)
(* How gateways and the control group find the prompt part that crashes    *)
(* targets among the parts beside it, as org.bankturn.crash does it.       *)
(* Requests have both parts, or the harmless one only.  A gateway states   *)
(* with each report the index of the published state that it knew when it  *)
(* sent the request, since clocks of different processes can't be          *)
(* compared.  A completed request may disprove only crashes that happened  *)
(* before it was sent.                                                     *)
(*                                                                         *)
(* The group that agrees is one register here; the module Agreement shows  *)
(* that it is.  Two crashes condemn here, five in the code; one that no    *)
(* condemned part explains suffices for a further part here, two in the    *)
(* code.                                                                   *)
(***************************************************************************)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS Gateways,         \* model values
          Incarnations,     \* of targets, model values
          MaxRuns,          \* requests in flight at the same time
          KnownAtSend,      \* TRUE: the index is that of the sending (the design); FALSE: that of the report, a seeded fault
          UnprovenFirst     \* TRUE: completed requests count, and a part without them is condemned first (the design);
                            \* FALSE: they don't, a seeded fault

VARIABLES up,               \* targets that run
          runs,             \* requests in flight
          reports,          \* reports on their way to the group
          agreed,           \* what the group holds
          published,        \* by gateway: the same, as it knows it
          wronglyDisproved, \* TRUE once a request disproved a crash that happened after its sending
          late              \* requests with the crashing part sent after every gateway knew that it is condemned

vars == <<up, runs, reports, agreed, published, wronglyDisproved, late>>

Condemning == 2
Both == {"bad", "shared"}
Kinds == {Both, {"shared"}}

Nothing == [index |-> 0, crashes |-> {}, completed |-> {}, condemned |-> {}]

Init ==
    /\ up = Incarnations
    /\ runs = {}
    /\ reports = {}
    /\ agreed = Nothing
    /\ published = [g \in Gateways |-> Nothing]
    /\ wronglyDisproved = FALSE
    /\ late = 0

----------------------------------------------------------------------------
(* The judgement *)

CrashesOf(part, crashes) == {c \in crashes : c.part = part}

InSuccession(crashes) ==
    \E one, other \in crashes : one.index < other.index /\ other.known >= one.index

Proven(part, s) == UnprovenFirst /\ part \in s.completed

CrashedTargets(crashes) == {c.target : c \in crashes}

\* Parts that never completed and have crashes enough.
Unproven(s) ==
    {p \in Both : ~Proven(p, s) /\ Cardinality(CrashesOf(p, s.crashes)) >= Condemning}

\* Of these, the one that was condemned earlier comes first; then the one with more crashes, then the one further back.
First(s) ==
    LET bad == CrashesOf("bad", s.crashes)
        shared == CrashesOf("shared", s.crashes)
    IN IF Cardinality(s.condemned) = 1
       THEN CHOOSE p \in s.condemned : TRUE
       ELSE IF Cardinality(shared) > Cardinality(bad) \/ ~UnprovenFirst THEN "shared" ELSE "bad"

Verdict(s) ==
    LET unproven == Unproven(s)
        first == First(s)
        outside(p) == {c \in CrashesOf(p, s.crashes) : c.target \notin CrashedTargets(CrashesOf(first, s.crashes))}
        never == IF unproven # Both THEN unproven
                 ELSE {first} \cup {p \in Both \ {first} : p \in s.condemned \/ outside(p) # {}}
        explained == UNION {CrashedTargets(CrashesOf(p, s.crashes)) : p \in never}
    IN never \cup {p \in Both \ never :
                    Proven(p, s) /\ InSuccession({c \in CrashesOf(p, s.crashes) : c.target \notin explained})}

----------------------------------------------------------------------------
(* Steps *)

AllKnow == \A g \in Gateways : "bad" \in Verdict(published[g])

Send(g, t, kind) ==
    /\ t \in up
    /\ Cardinality(runs) < MaxRuns
    /\ kind \cap Verdict(published[g]) = {}
    /\ runs' = runs \cup {[gateway |-> g, target |-> t, kind |-> kind, known |-> published[g].index,
                           crashedBefore |-> Incarnations \ up]}
    /\ late' = IF AllKnow /\ kind = Both THEN late + 1 ELSE late
    /\ UNCHANGED <<up, reports, agreed, published, wronglyDisproved>>

\* A target crashes under a request with the crashing part; each gateway with requests there reports them.
Crash(t) ==
    LET there == {r \in runs : r.target = t}
    IN /\ t \in up
       /\ \E r \in there : r.kind = Both
       /\ up' = up \ {t}
       /\ runs' = runs \ there
       /\ reports' = reports \cup
            {[crash |-> TRUE, target |-> t, runs |-> {r \in there : r.gateway = g}] :
                g \in {r.gateway : r \in there}}
       /\ UNCHANGED <<agreed, published, wronglyDisproved, late>>

Complete(r) ==
    /\ r \in runs /\ r.kind # Both
    /\ runs' = runs \ {r}
    /\ reports' = reports \cup
        {[crash |-> FALSE, target |-> r.target,
          runs |-> {[r EXCEPT !.known = IF KnownAtSend THEN @ ELSE published[r.gateway].index]}]}
    /\ UNCHANGED <<up, agreed, published, wronglyDisproved, late>>

Latest(rs) == CHOOSE r \in rs : \A other \in rs : r.known >= other.known

\* The crash of a target for one part; a second report of it keeps the request that was sent last.
Recorded(part, report, crashes, index) ==
    LET with == {r \in report.runs : part \in r.kind}
        former == {c \in crashes : c.part = part /\ c.target = report.target}
        reported == [part |-> part, target |-> report.target, index |-> index, known |-> Latest(with).known,
                     crashedBefore |-> Latest(with).crashedBefore]
    IN IF with = {} THEN crashes
       ELSE IF former = {} THEN crashes \cup {reported}
       ELSE (crashes \ former) \cup
            {IF c.known >= reported.known THEN c ELSE [reported EXCEPT !.index = c.index] : c \in former}

Judged(s) == [s EXCEPT !.condemned = Verdict(s)]

AgreeCrash(report) ==
    /\ report \in reports /\ report.crash
    /\ LET index == agreed.index + 1
       IN agreed' = Judged([agreed EXCEPT !.index = index,
                               !.crashes = Recorded("bad", report, Recorded("shared", report, @, index), index)])
    /\ reports' = reports \ {report}
    /\ UNCHANGED <<up, runs, published, wronglyDisproved, late>>

AgreeCompletion(report) ==
    /\ report \in reports /\ ~report.crash
    /\ LET run == CHOOSE r \in report.runs : TRUE
           disproved == {c \in agreed.crashes : c.part \in run.kind /\ c.index <= run.known}
       IN /\ agreed' = Judged([agreed EXCEPT !.index = @ + 1, !.crashes = @ \ disproved,
                                             !.completed = @ \cup run.kind])
          /\ wronglyDisproved' = (wronglyDisproved \/ \E c \in disproved : c.target \notin run.crashedBefore)
    /\ reports' = reports \ {report}
    /\ UNCHANGED <<up, runs, published, late>>

Publish(g) ==
    /\ published[g] # agreed
    /\ published' = [published EXCEPT ![g] = agreed]
    /\ runs' = {r \in runs : r.gateway # g \/ r.kind \cap Verdict(agreed) = {}}
    /\ UNCHANGED <<up, reports, agreed, wronglyDisproved, late>>

Next ==
    \/ \E g \in Gateways, t \in Incarnations, kind \in Kinds : Send(g, t, kind)
    \/ \E t \in Incarnations : Crash(t)
    \/ \E r \in runs : Complete(r)
    \/ \E report \in reports : AgreeCrash(report) \/ AgreeCompletion(report)
    \/ \E g \in Gateways : Publish(g)

Spec == Init /\ [][Next]_vars

Symmetry == Permutations(Incarnations) \cup Permutations(Gateways)

\* Keeps the number of completions finite.
Bounded == agreed.index <= 3 /\ Cardinality(reports) <= 2

----------------------------------------------------------------------------
DisprovedByLaterRunsOnly == ~wronglyDisproved

SuccessionFollowsCrashes ==
    \A one, other \in agreed.crashes :
        (one.part = other.part /\ one.index < other.index /\ other.known >= one.index)
            => one.target \in other.crashedBefore

\* All requests that crash targets have both parts here, so that any of the two stops them.
CauseIsStopped ==
    (reports = {} /\ Cardinality(Incarnations \ up) >= Condemning) => Verdict(agreed) # {}

PartBesideTheCauseIsSpared ==
    (reports = {} /\ "shared" \in agreed.completed) => "shared" \notin Verdict(agreed)

NothingSentOnceAllKnow == late = 0
=============================================================================

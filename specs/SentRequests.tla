---------------------------- MODULE SentRequests ----------------------------
(***************************************************************************)
(* How one gateway follows a request that it sent to targets, as           *)
(* org.bankturn.crash.SentRequests does it.  An attempt ends in many ways  *)
(* that do not tell what becomes of its target: the gateway gives it up    *)
(* while the target goes on running the request until its deadline, or the *)
(* target responds and crashes just after.  A crash of which the request   *)
(* is the cause must count against it once the target's end is known; a    *)
(* target that is shown to have lived on must not.                         *)
(***************************************************************************)
EXTENDS Naturals

CONSTANTS Targets,        \* incarnations, model values
          FollowEnded,    \* TRUE: ended attempts are followed (the design); FALSE: they are forgotten, a seeded fault
          AwaitRun        \* TRUE: life counts once the run must be over (the design); FALSE: at any time, a seeded fault

VARIABLES up,             \* targets that have not ended
          mayCrash,       \* targets that run the request, or have just run it
          followed,       \* targets whose attempt the gateway follows
          inFlight,       \* targets whose attempt has not ended
          crashed,        \* targets that crashed of the request
          known,          \* targets whose end the gateway knows
          counted,        \* targets whose end counts against the request
          outlived        \* targets shown alive after the request had run there

vars == <<up, mayCrash, followed, inFlight, crashed, known, counted, outlived>>

Init ==
    /\ up = Targets
    /\ mayCrash = {} /\ followed = {} /\ inFlight = {}
    /\ crashed = {} /\ known = {} /\ counted = {} /\ outlived = {}

Send(t) ==
    /\ t \in up /\ t \notin followed /\ t \notin mayCrash /\ t \notin outlived
    /\ mayCrash' = mayCrash \cup {t}
    /\ followed' = followed \cup {t}
    /\ inFlight' = inFlight \cup {t}
    /\ UNCHANGED <<up, crashed, known, counted, outlived>>

\* The attempt ends: a deadline, a caller that leaves, a response, a connection that is lost.
EndAttempt(t) ==
    /\ t \in inFlight
    /\ inFlight' = inFlight \ {t}
    /\ followed' = IF FollowEnded THEN followed ELSE followed \ {t}
    /\ UNCHANGED <<up, mayCrash, crashed, known, counted, outlived>>

\* The run is over, and what may follow it at once as well.
RunOver(t) ==
    /\ t \in mayCrash /\ t \in up /\ t \notin inFlight
    /\ mayCrash' = mayCrash \ {t}
    /\ UNCHANGED <<up, followed, inFlight, crashed, known, counted, outlived>>

Crash(t) ==
    /\ t \in mayCrash /\ t \in up
    /\ up' = up \ {t}
    /\ crashed' = crashed \cup {t}
    /\ UNCHANGED <<mayCrash, followed, inFlight, known, counted, outlived>>

\* A target ends for another reason.
EndOtherwise(t) ==
    /\ t \in up
    /\ up' = up \ {t}
    /\ UNCHANGED <<mayCrash, followed, inFlight, crashed, known, counted, outlived>>

\* The target shows life: in the answer to a check, or by data for another request.
ShowLife(t) ==
    /\ t \in up /\ t \in followed /\ t \notin inFlight
    /\ AwaitRun => t \notin mayCrash
    /\ followed' = followed \ {t}
    /\ outlived' = IF t \in mayCrash THEN outlived ELSE outlived \cup {t}
    /\ UNCHANGED <<up, mayCrash, inFlight, crashed, known, counted>>

\* A refused connection, a successor, another gateway's report.
Learn(t) ==
    /\ t \notin up /\ t \notin known
    /\ known' = known \cup {t}
    /\ counted' = IF t \in followed THEN counted \cup {t} ELSE counted
    /\ UNCHANGED <<up, mayCrash, followed, inFlight, crashed, outlived>>

Next == \E t \in Targets :
    Send(t) \/ EndAttempt(t) \/ RunOver(t) \/ Crash(t) \/ EndOtherwise(t) \/ ShowLife(t) \/ Learn(t)

Spec == Init /\ [][Next]_vars

----------------------------------------------------------------------------
EveryKnownCrashCounts == crashed \cap known \subseteq counted

OutlivedRequestsDoNotCount == counted \cap outlived = {}
============================================================================

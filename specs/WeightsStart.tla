---------------------------- MODULE WeightsStart ----------------------------
(***************************************************************************)
(* Orders to one engine to load the weights that are staged there, as      *)
(* org.bankturn.weights.UnansweredStart and                                *)
(* org.bankturn.daemon.weights.EngineStarter handle them.  The agent       *)
(* stages the pieces of one version, reads them back, and sends an order.  *)
(* The engine may execute an order at any later time, also when the agent  *)
(* has given it up, and loads what is staged then.  It may lose power and  *)
(* start anew, with nothing staged and at revision 0; the agent learns of  *)
(* the new incarnation late.  The agent may be restarted: it forgets its   *)
(* order, and finds out from the staged pieces which one is possible       *)
(* before it stages any, as org.bankturn.weights.StagedPieces does.        *)
(* Loaded weights must be those of the version that the order names.       *)
(*                                                                         *)
(* Pieces arrive when they are staged: the module does not cover a piece   *)
(* that is given up and arrives later.                                     *)
(***************************************************************************)
EXTENDS Naturals

CONSTANTS MaxVersion,       \* versions that are published
          MaxLives,         \* incarnations of the engine
          MaxSends,         \* orders sent, repetitions included
          Pieces,           \* pieces of a version
          CheckRevision,    \* TRUE: an order is executed at its revision only (the design)
          CheckInstance,    \* TRUE: an order is executed by its incarnation only (the design)
          KeepStaged,       \* TRUE: no other version is staged while an order is unanswered (the design)
          MatchReport,      \* TRUE: a revision counts for the incarnation it was requested from (the design)
          MaxRestarts,      \* restarts of the agent, which forgets an unanswered order each time
          CheckStaged       \* TRUE: a restarted agent finds out from the staged pieces which order is possible (the design)

VARIABLES published,        \* the newest version
          engine,           \* incarnation, revision, version held, staged versions by piece, whether the load was whole
          agent,            \* version copied, incarnation believed, that of the last report, its revision, pieces verified,
                            \* whether an answer is awaited, whether an earlier sending of that order is unanswered,
                            \* version held as reported, whether the staged pieces were checked, restarts so far
          order,            \* the order that is verified, awaited or unanswered
          unanswered,       \* whether the engine may still execute that order
          sent,             \* orders on their way, each executed once at any time, with the number of the sending
          sends             \* orders sent so far

vars == <<published, engine, agent, order, unanswered, sent, sends>>

NoOrder == [version |-> 0, life |-> 0, revision |-> 0]

Empty(life) == [life |-> life, revision |-> 0, held |-> 0, staged |-> [piece \in 1..Pieces |-> 0], whole |-> TRUE]

Init ==
    /\ published = 1
    /\ engine = Empty(1)
    /\ agent = [copy |-> 1, life |-> 1, reported |-> 1, revision |-> 0,
                verifying |-> FALSE, verified |-> 0, awaiting |-> FALSE, earlier |-> FALSE,
                held |-> 0, checked |-> TRUE, restarts |-> 0]
    /\ order = NoOrder
    /\ unanswered = FALSE
    /\ sent = {}
    /\ sends = 0

Publish ==
    /\ published < MaxVersion
    /\ published' = published + 1
    /\ UNCHANGED <<engine, agent, order, unanswered, sent, sends>>

\* The order can no longer take effect, as far as a report tells.
Settled == engine.revision # order.revision \/ engine.held = order.version

Report ==
    /\ agent' = [agent EXCEPT !.revision = engine.revision, !.reported = agent.life, !.held = engine.held]
    /\ unanswered' = (unanswered /\ ~Settled)
    /\ UNCHANGED <<published, engine, order, sent, sends>>

LearnInstance ==
    /\ agent' = [agent EXCEPT !.life = engine.life]
    /\ UNCHANGED <<published, engine, order, unanswered, sent, sends>>

\* A newer copy replaces the current one; a verification of the replaced one ends.
Replace ==
    /\ agent.checked /\ agent.copy < published
    /\ ~KeepStaged \/ ~unanswered
    /\ agent' = [agent EXCEPT !.copy = published, !.verifying = FALSE, !.verified = 0]
    /\ UNCHANGED <<published, engine, order, unanswered, sent, sends>>

Stage(piece) ==
    /\ agent.checked
    /\ engine' = [engine EXCEPT !.staged[piece] = agent.copy]
    /\ UNCHANGED <<published, agent, order, unanswered, sent, sends>>

\* An unanswered order is sent again as it was.
BeginVerification ==
    /\ agent.checked /\ ~agent.verifying /\ ~agent.awaiting
    /\ unanswered => order.version = agent.copy
    /\ unanswered \/ ~MatchReport \/ agent.reported = agent.life
    /\ order' = IF unanswered
                THEN order
                ELSE [version |-> agent.copy, life |-> agent.life, revision |-> agent.revision]
    /\ agent' = [agent EXCEPT !.verifying = TRUE, !.verified = 0]
    /\ UNCHANGED <<published, engine, unanswered, sent, sends>>

Verify ==
    /\ agent.verifying /\ agent.verified < Pieces
    /\ engine.staged[agent.verified + 1] = agent.copy
    /\ agent' = [agent EXCEPT !.verified = @ + 1]
    /\ UNCHANGED <<published, engine, order, unanswered, sent, sends>>

Send ==
    /\ agent.verifying /\ agent.verified = Pieces
    /\ sends < MaxSends
    /\ sends' = sends + 1
    /\ sent' = sent \cup {[order |-> order, number |-> sends']}
    /\ agent' = [agent EXCEPT !.verifying = FALSE, !.verified = 0, !.awaiting = TRUE, !.earlier = unanswered]
    /\ unanswered' = TRUE
    /\ UNCHANGED <<published, engine, order>>

IsForThisEngine(o) == ~CheckInstance \/ o.life = engine.life

Takes(o) == IsForThisEngine(o) /\ (~CheckRevision \/ o.revision = engine.revision)

Loaded(o) ==
    IF ~Takes(o) \/ engine.held = o.version
    THEN engine
    ELSE [engine EXCEPT !.revision = @ + 1,
                        !.held = o.version,
                        !.whole = \A piece \in 1..Pieces : engine.staged[piece] = o.version]

\* The agent may hear the answer while it awaits one to this sending.
Execute(message) ==
    LET o == message.order
    IN /\ engine' = Loaded(o)
       /\ sent' = sent \ {message}
       /\ \E heard \in BOOLEAN :
             IF heard /\ agent.awaiting /\ message.number = sends
             THEN /\ agent' = [agent EXCEPT !.awaiting = FALSE,
                                            !.life = IF IsForThisEngine(o) THEN @ ELSE engine.life]
                  /\ unanswered' = (unanswered /\ ~Takes(o) /\ IsForThisEngine(o) /\ agent.earlier)
             ELSE UNCHANGED <<agent, unanswered>>
       /\ UNCHANGED <<published, order, sends>>

GiveUp ==
    /\ agent.awaiting
    /\ agent' = [agent EXCEPT !.awaiting = FALSE]
    /\ UNCHANGED <<published, engine, order, unanswered, sent, sends>>

Restart ==
    /\ agent.restarts < MaxRestarts
    /\ agent' = [agent EXCEPT !.copy = published, !.reported = 0, !.verifying = FALSE, !.verified = 0,
                              !.awaiting = FALSE, !.earlier = FALSE, !.checked = ~CheckStaged, !.restarts = @ + 1]
    /\ order' = NoOrder
    /\ unanswered' = FALSE
    /\ UNCHANGED <<published, engine, sent, sends>>

MayHaveBeenOrdered(version) ==
    /\ version > agent.held
    /\ \A piece \in 1..Pieces : engine.staged[piece] = version

\* The order that a former process may have sent counts as sent and not answered.
Check ==
    /\ ~agent.checked /\ agent.reported = agent.life
    /\ IF \E version \in 1..published : MayHaveBeenOrdered(version)
       THEN LET version == CHOOSE version \in 1..published : MayHaveBeenOrdered(version)
            IN /\ order' = [version |-> version, life |-> agent.life, revision |-> agent.revision]
               /\ unanswered' = TRUE
               /\ agent' = [agent EXCEPT !.checked = TRUE, !.copy = version]
       ELSE /\ agent' = [agent EXCEPT !.checked = TRUE, !.copy = published]
            /\ UNCHANGED <<order, unanswered>>
    /\ UNCHANGED <<published, engine, sent, sends>>

LosePower ==
    /\ engine.life < MaxLives
    /\ engine' = Empty(engine.life + 1)
    /\ UNCHANGED <<published, agent, order, unanswered, sent, sends>>

Next ==
    \/ Publish \/ Report \/ LearnInstance \/ Replace \/ BeginVerification \/ Verify \/ Send \/ GiveUp
    \/ Restart \/ Check \/ LosePower
    \/ \E piece \in 1..Pieces : Stage(piece)
    \/ \E message \in sent : Execute(message)

Spec == Init /\ [][Next]_vars

----------------------------------------------------------------------------
LoadedIsWhole == engine.whole

\* Else the order could neither be sent again nor be settled.
UnansweredIsCopied == unanswered => order.version = agent.copy
============================================================================

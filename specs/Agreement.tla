----------------------------- MODULE Agreement -----------------------------
(***************************************************************************)
(* Agreement among control boxes, as org.bankturn.agreement.RaftNode       *)
(* does it: terms, votes, a log, members that change one at a time, and a  *)
(* box that lost its disk and comes back as a new member (a new life).     *)
(*                                                                         *)
(* Messages are sets that only grow, so any message may be lost, doubled,  *)
(* late or out of order.  An append message carries the leader's whole log *)
(* (what AppendRequest and SnapshotRequest together lead to); a follower   *)
(* that already holds more of the same log keeps it.  Only the leader's    *)
(* commit index is kept: a follower's is one that a leader has had.  A     *)
(* member that restarts goes on from the commit index that it stored.      *)
(***************************************************************************)
EXTENDS Naturals, Sequences, FiniteSets, TLC

CONSTANTS Boxes,          \* control boxes, model values
          MaxTerm,        \* terms explored
          MaxLog,         \* log length explored
          MaxLosses,      \* disks lost
          NewLifeGuard,   \* TRUE: a lost disk means a new member (the design); FALSE: seeded fault
          LeastMembers,   \* silent members are dropped from groups larger than this
          KnownCommitGuard, \* TRUE: a restart goes on from the stored commit index; FALSE: from the whole log, seeded fault
          DropAtOnce      \* members dropped in one step: 1 (the design); 2: seeded fault

Lives == 1 .. 2
Member == Boxes \X Lives
None == <<"nobody", 0>>
Symmetry == Permutations(Boxes)
FirstMembers == {<<b, 1>> : b \in Boxes}

VARIABLES term, votedFor, log, commit, role,     \* by member
          running,                               \* the life that runs on each box
          losses,
          requests, votes, appends, acks,        \* messages
          accepted                               \* history: <<index, entry>> ever committed anywhere

vars == <<term, votedFor, log, commit, role, running, losses, requests, votes, appends, acks, accepted>>

Alive == {<<b, running[b]>> : b \in Boxes}

\* The members as of the first n entries of a log.
Config(l, n) ==
    LET changes == {i \in 1 .. n : l[i].members # {}}
    IN IF changes = {} THEN FirstMembers
       ELSE l[CHOOSE i \in changes : \A j \in changes : j <= i].members

Members(m) == Config(log[m], Len(log[m]))
IsMajority(s, c) == 2 * Cardinality(s \cap c) > Cardinality(c)
LastTerm(l) == IF l = <<>> THEN 0 ELSE l[Len(l)].term
IsPrefix(a, b) == Len(a) <= Len(b) /\ \A i \in 1 .. Len(a) : a[i] = b[i]

Init ==
    /\ term = [m \in Member |-> 0]
    /\ votedFor = [m \in Member |-> None]
    /\ log = [m \in Member |-> <<>>]
    /\ commit = [m \in Member |-> 0]
    /\ role = [m \in Member |-> "follower"]
    /\ running = [b \in Boxes |-> 1]
    /\ losses = 0
    /\ requests = {} /\ votes = {} /\ appends = {} /\ acks = {} /\ accepted = {}

StartElection(m) ==
    /\ m \in Alive /\ m \in Members(m) /\ role[m] # "leader" /\ term[m] < MaxTerm
    /\ term' = [term EXCEPT ![m] = @ + 1]
    /\ votedFor' = [votedFor EXCEPT ![m] = m]
    /\ votes' = votes \cup {<<term[m] + 1, m, m>>}
    /\ requests' = requests \cup {<<term[m] + 1, m, Len(log[m]), LastTerm(log[m])>>}
    /\ role' = [role EXCEPT ![m] = "candidate"]
    /\ UNCHANGED <<log, commit, running, losses, appends, acks, accepted>>

OnVoteRequest(m, r) ==
    LET t == r[1] c == r[2]
        newer == t > term[m]
        free == newer \/ votedFor[m] \in {None, c}
        upToDate == r[4] > LastTerm(log[m]) \/ (r[4] = LastTerm(log[m]) /\ r[3] >= Len(log[m]))
    IN /\ m \in Alive /\ m # c /\ t >= term[m] /\ free /\ upToDate
       /\ <<t, m, c>> \notin votes
       /\ term' = [term EXCEPT ![m] = t]
       /\ votedFor' = [votedFor EXCEPT ![m] = c]
       /\ role' = [role EXCEPT ![m] = IF newer THEN "follower" ELSE @]
       /\ commit' = [commit EXCEPT ![m] = IF newer THEN 0 ELSE @]
       /\ votes' = votes \cup {<<t, m, c>>}
       /\ UNCHANGED <<log, running, losses, requests, appends, acks, accepted>>

BecomeLeader(m) ==
    /\ m \in Alive /\ role[m] = "candidate"
    /\ IsMajority({v \in Member : <<term[m], v, m>> \in votes}, Members(m))
    /\ role' = [role EXCEPT ![m] = "leader"]
    /\ UNCHANGED <<term, votedFor, log, commit, running, losses, requests, votes, appends, acks, accepted>>

AppendAsLeader(m, members) ==
    /\ Len(log[m]) < MaxLog
    /\ log' = [log EXCEPT ![m] = Append(@, [term |-> term[m], members |-> members])]
    /\ acks' = acks \cup {<<term[m], m, Len(log[m]) + 1>>}
    /\ UNCHANGED <<term, votedFor, commit, role, running, losses, requests, votes, appends, accepted>>

Propose(m) == m \in Alive /\ role[m] = "leader" /\ AppendAsLeader(m, {})

Replicate(m) ==
    /\ m \in Alive /\ role[m] = "leader" /\ log[m] # <<>>
    /\ <<term[m], log[m]>> \notin appends
    /\ appends' = appends \cup {<<term[m], log[m]>>}
    /\ UNCHANGED <<term, votedFor, log, commit, role, running, losses, requests, votes, acks, accepted>>

OnAppendRequest(m, a) ==
    LET t == a[1]
        kept == IF IsPrefix(a[2], log[m]) THEN log[m] ELSE a[2]
    IN /\ m \in Alive /\ t >= term[m] /\ ~(role[m] = "leader" /\ t = term[m])
       /\ (log[m] # kept \/ <<t, m, Len(a[2])>> \notin acks)
       /\ term' = [term EXCEPT ![m] = t]
       /\ votedFor' = [votedFor EXCEPT ![m] = IF t > term[m] THEN None ELSE @]
       /\ role' = [role EXCEPT ![m] = "follower"]
       /\ log' = [log EXCEPT ![m] = kept]
       /\ commit' = [commit EXCEPT ![m] = 0]
       /\ acks' = acks \cup {<<t, m, Len(a[2])>>}
       /\ UNCHANGED <<running, losses, requests, votes, appends, accepted>>

AdvanceCommit(m) ==
    \E i \in 1 .. Len(log[m]) :
        /\ m \in Alive /\ role[m] = "leader" /\ i > commit[m] /\ log[m][i].term = term[m]
        /\ IsMajority({f \in Member : \E n \in i .. MaxLog : <<term[m], f, n>> \in acks}, Members(m))
        /\ commit' = [commit EXCEPT ![m] = i]
        /\ accepted' = accepted \cup {<<j, log[m][j]>> : j \in 1 .. i}
        /\ UNCHANGED <<term, votedFor, log, role, running, losses, requests, votes, appends, acks>>

\* The two steps by which a leader lets a new life take the place of the old one.
AdmitJoiner(m) ==
    \E j \in Alive :
        LET former == {o \in Members(m) : o[1] = j[1]}
            caughtUp == commit[m] = 0 \/ \E n \in commit[m] .. MaxLog : <<term[m], j, n>> \in acks
            settled == Config(log[m], commit[m]) = Members(m)
            established == commit[m] > 0 /\ log[m][commit[m]].term = term[m]
        IN /\ m \in Alive /\ role[m] = "leader" /\ j \notin Members(m) /\ caughtUp /\ settled /\ established
           /\ AppendAsLeader(m, IF former # {} THEN Members(m) \ former ELSE Members(m) \cup {j})

\* A leader drops members that it does not hear; anyone but itself may be silent.
DropSilent(m) ==
    \E gone \in SUBSET (Members(m) \ {m}) :
        LET settled == Config(log[m], commit[m]) = Members(m)
            established == commit[m] > 0 /\ log[m][commit[m]].term = term[m]
        IN /\ m \in Alive /\ role[m] = "leader" /\ settled /\ established
           /\ Cardinality(gone) = DropAtOnce /\ Cardinality(Members(m)) > LeastMembers
           /\ AppendAsLeader(m, Members(m) \ gone)

Restart(m) ==
    /\ m \in Alive /\ role[m] = "leader"
    /\ role' = [role EXCEPT ![m] = "follower"]
    /\ commit' = [commit EXCEPT ![m] = IF KnownCommitGuard THEN @ ELSE Len(log[m])]
    /\ UNCHANGED <<term, votedFor, log, running, losses, requests, votes, appends, acks, accepted>>

\* A disk is lost.  By design the box comes back as another member; the seeded fault lets it be the same one.
LoseDisk(b) ==
    /\ losses < MaxLosses /\ running[b] = 1
    /\ losses' = losses + 1
    /\ IF NewLifeGuard
       THEN /\ running' = [running EXCEPT ![b] = 2]
            /\ UNCHANGED <<term, votedFor, log, commit, role>>
       ELSE /\ UNCHANGED running
            /\ term' = [term EXCEPT ![<<b, 1>>] = 0]
            /\ votedFor' = [votedFor EXCEPT ![<<b, 1>>] = None]
            /\ log' = [log EXCEPT ![<<b, 1>>] = <<>>]
            /\ commit' = [commit EXCEPT ![<<b, 1>>] = 0]
            /\ role' = [role EXCEPT ![<<b, 1>>] = "follower"]
    /\ UNCHANGED <<requests, votes, appends, acks, accepted>>

Next ==
    \/ \E m \in Alive :
        \/ StartElection(m) \/ BecomeLeader(m) \/ Propose(m) \/ Replicate(m)
        \/ AdvanceCommit(m) \/ AdmitJoiner(m) \/ DropSilent(m) \/ Restart(m)
        \/ \E r \in requests : OnVoteRequest(m, r)
        \/ \E a \in appends : OnAppendRequest(m, a)
    \/ \E b \in Boxes : LoseDisk(b)

Spec == Init /\ [][Next]_vars

----------------------------------------------------------------------------
OneEntryPerIndex == \A x, y \in accepted : x[1] = y[1] => x[2] = y[2]

OneLeaderPerTerm == \A m, n \in Alive : role[m] = "leader" /\ role[n] = "leader" /\ term[m] = term[n] => m = n

\* What a leader believes committed is what was accepted, so no accepted entry reverts.
CommittedIsAccepted ==
    \A m \in Alive : \A i \in 1 .. commit[m] : i <= Len(log[m]) /\ <<i, log[m][i]>> \in accepted

\* Every accepted entry stands in the log of whoever leads in a later term.
NoAcceptedEntryLost ==
    \A m \in Alive : role[m] = "leader" =>
        \A x \in accepted : x[2].term < term[m] => x[1] <= Len(log[m]) /\ log[m][x[1]] = x[2]
============================================================================

----------------------------- MODULE Membership -----------------------------
(***************************************************************************)
(* Who is a member of the control group, as MembershipChanges and          *)
(* RaftNode.onJoinRequest decide it: boxes are lost, up to Tolerated at a   *)
(* time, replaced by empty ones or wiped, again and again, each time once   *)
(* the time to catch up has passed: no step is left that takes only a few    *)
(* messages, but a box that lost its disk may still be copying the log, and *)
(* a new one has copied it.  Other boxes go down with their disks meanwhile. *)
(* Votes and the content of logs are left out: module Agreement has them.   *)
(*                                                                         *)
(* A member is a box and a life of its disk.  An empty box knows three      *)
(* boxes.  One of them at least is a member that runs.                      *)
(***************************************************************************)
EXTENDS Naturals, FiniteSets, TLC

CONSTANTS FirstBoxes,      \* the first members, model values
          SpareBoxes,      \* boxes that may replace others, model values
          Tolerated,       \* boxes that may be lost at the same time
          MaxLost,         \* losses explored
          MaxDown,         \* boxes that are down with their disks at the same time, explored
          LeastMembers,    \* silent members are removed from larger groups only
          SeveralSilent,   \* TRUE: also while several are silent (the design); FALSE: seeded fault
          PassesOn,        \* TRUE: a member that does not lead passes a join request on (the design); FALSE: seeded fault
          WaitsForLog      \* FALSE: a box is added before it holds the log if the majority stays as large (the design); TRUE: seeded fault

Boxes == FirstBoxes \cup SpareBoxes
Symmetry == Permutations(FirstBoxes) \cup Permutations(SpareBoxes)
SeedCount == 3

VARIABLES voters,    \* members with a vote
          life,      \* the life of each box's disk
          state,     \* "spare", "up", "down" (its disk survives), "empty" (lost its disk, not started yet), "gone"
          seeds,     \* the boxes that an empty box knows
          copying,   \* the boxes that join and do not hold the log yet
          pending,   \* the box whose member the latest change removed, as a set of one, or {}
          leader,    \* the box that leads, if it answers and has a majority
          lost,      \* boxes lost since the group was settled
          total      \* boxes lost in all

vars == <<voters, life, state, seeds, copying, pending, leader, lost, total>>

Running == {<<b, life[b]>> : b \in {x \in Boxes : state[x] = "up"}}
Answering == voters \cap Running
Silent == voters \ Running
Joining == Running \ voters
HasMajority == 2 * Cardinality(Answering) > Cardinality(voters)
Leads(b) == <<b, life[b]>> \in Answering /\ HasMajority
HasLeader == Leads(leader)

\* The leader gets the request itself, or a member that answers passes it on.  A leader that takes the box for its former
\* member still sends to it, so that the box can ask it directly.
ReachesLeader(j) ==
    \/ leader \in seeds[j[1]]
    \/ PassesOn /\ \E s \in seeds[j[1]] : <<s, life[s]>> \in Answering
    \/ PassesOn /\ \E v \in voters : v[1] = j[1]

Former(j) == {v \in voters : v[1] = j[1]}

\* A box that lost its disk takes its former member's place; a majority of an even number of members stays as large with
\* one more.
NeedsLog(j) ==
    \/ WaitsForLog
    \/ Former(j) = {} /\ j[1] \notin pending /\ Cardinality(voters) % 2 = 1

\* One box joins at a time: a leader completes a replacement that it began unless that box is gone again.
Busy(j) == \E b \in pending : b # j[1] /\ state[b] = "up"

CanAdmit(j) ==
    /\ HasLeader /\ j \in Joining /\ ReachesLeader(j) /\ ~Busy(j)
    /\ j[1] \in copying => ~NeedsLog(j)
CanRemove(s) ==
    /\ HasLeader /\ s \in Silent
    /\ Cardinality(voters) > LeastMembers
    /\ SeveralSilent \/ Silent = {s}

Settled == voters = Running /\ \A b \in Boxes : state[b] \notin {"down", "empty"}
Quiet ==
    /\ \A b \in Boxes : state[b] \notin {"down", "empty"}
    /\ HasMajority => HasLeader
    /\ ~\E j \in Joining : CanAdmit(j)
    /\ ~\E s \in Silent : CanRemove(s)

\* The time to catch up has passed for all that were lost.  The first life of a disk is that of a new box.
CaughtUp ==
    /\ Quiet
    /\ \A b \in copying : life[b] > 1

Init ==
    /\ voters = {<<b, 1>> : b \in FirstBoxes}
    /\ life = [b \in Boxes |-> 1]
    /\ state = [b \in Boxes |-> IF b \in FirstBoxes THEN "up" ELSE "spare"]
    /\ seeds = [b \in Boxes |-> {}]
    /\ copying = {} /\ pending = {}
    /\ leader \in FirstBoxes
    /\ lost = 0 /\ total = 0

\* Up to Tolerated boxes are lost at the same time: those in "replaced" for good, the others come back with empty disks.
Lose ==
    \E gone \in SUBSET {b \in Boxes : state[b] = "up"} : \E replaced \in SUBSET gone : \E came \in SUBSET SpareBoxes :
        /\ CaughtUp /\ gone # {} /\ Cardinality(gone) <= Tolerated
        /\ total + Cardinality(gone) <= MaxLost
        /\ Cardinality(came) = Cardinality(replaced) /\ \A b \in came : state[b] = "spare"
        /\ state' = [b \in Boxes |->
               IF b \in replaced THEN "gone" ELSE IF b \in gone \cup came THEN "empty" ELSE state[b]]
        /\ life' = [b \in Boxes |-> IF b \in gone \ replaced THEN life[b] + 1 ELSE life[b]]
        /\ lost' = Cardinality(gone) /\ total' = total + Cardinality(gone)
        /\ copying' = copying \ gone
        /\ UNCHANGED <<voters, seeds, pending, leader>>

StartEmpty(b) ==
    \E known \in SUBSET {x \in Boxes \ {b} : state[x] \notin {"spare", "gone"}} :
        /\ state[b] = "empty"
        /\ Cardinality(known) = SeedCount
        /\ \E s \in known : <<s, life[s]>> \in Answering
        /\ state' = [state EXCEPT ![b] = "up"]
        /\ seeds' = [seeds EXCEPT ![b] = known]
        /\ copying' = copying \cup {b}
        /\ UNCHANGED <<voters, life, pending, leader, lost, total>>

\* A box that joins holds the log, at any time or never.
Copy(b) ==
    /\ b \in copying /\ HasLeader
    /\ copying' = copying \ {b}
    /\ UNCHANGED <<voters, life, state, seeds, pending, leader, lost, total>>

\* A box goes down and comes back with its disk; it then knows the members of its log.
GoDown(b) ==
    /\ state[b] = "up" /\ <<b, life[b]>> \in voters
    /\ Cardinality({x \in Boxes : state[x] = "down"}) < MaxDown
    /\ state' = [state EXCEPT ![b] = "down"]
    /\ seeds' = [seeds EXCEPT ![b] = {v[1] : v \in voters} \ {b}]
    /\ UNCHANGED <<voters, life, copying, pending, leader, lost, total>>

ComeBack(b) ==
    /\ state[b] = "down"
    /\ state' = [state EXCEPT ![b] = "up"]
    /\ UNCHANGED <<voters, life, seeds, copying, pending, leader, lost, total>>

Elect(b) ==
    /\ b # leader /\ Leads(b)
    /\ leader' = b
    /\ UNCHANGED <<voters, life, state, seeds, copying, pending, lost, total>>

\* First the former member of the box is removed, then the box is added.  What it copies as a member changes nothing here.
Admit(j) ==
    LET former == Former(j)
    IN /\ CanAdmit(j)
       /\ voters' = IF former # {} THEN voters \ former ELSE voters \cup {j}
       /\ seeds' = IF former # {} THEN seeds ELSE [seeds EXCEPT ![j[1]] = {}]
       /\ copying' = IF former # {} THEN copying ELSE copying \ {j[1]}
       /\ pending' = IF former # {} THEN {j[1]} ELSE {}
       /\ UNCHANGED <<life, state, leader, total>>
       /\ lost' = IF Settled' THEN 0 ELSE lost

Remove(s) ==
    /\ CanRemove(s)
    /\ voters' = voters \ {s}
    /\ pending' = {s[1]}
    /\ UNCHANGED <<life, state, seeds, copying, leader, total>>
    /\ lost' = IF Settled' THEN 0 ELSE lost

Next ==
    \/ Lose
    \/ \E b \in Boxes : StartEmpty(b) \/ Copy(b) \/ GoDown(b) \/ ComeBack(b) \/ Elect(b)
    \/ \E j \in Joining : Admit(j)
    \/ \E s \in Silent : Remove(s)

Spec == Init /\ [][Next]_vars

----------------------------------------------------------------------------
\* Losses that are tolerated leave a majority, unless more boxes are down meanwhile.
MajorityAnswers == (\A b \in Boxes : state[b] # "down") => HasMajority

\* An acknowledged entry is on more disks than may still be lost.
EnoughDisks == Cardinality(voters) \div 2 + 1 > Tolerated - lost

\* Once the time to catch up has passed, no member is gone, and a box that runs is left out only while it copies the log and
\* the members are enough without it.
NoBoxIsLeftOut ==
    CaughtUp =>
        /\ Silent = {}
        /\ \A j \in Joining : j[1] \in copying /\ Cardinality(voters) >= LeastMembers
============================================================================

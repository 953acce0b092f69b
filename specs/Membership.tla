----------------------------- MODULE Membership -----------------------------
(***************************************************************************)
(* Who is a member of the control group, as MembershipChanges and          *)
(* RaftNode.onJoinRequest decide it: boxes are lost, up to Tolerated at a   *)
(* time, replaced by empty ones or wiped, again and again, each time once   *)
(* the group has settled; other boxes go down with their disks meanwhile.   *)
(* Logs and votes are left out: module Agreement has them.                  *)
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
          PassesOn         \* TRUE: a member that does not lead passes a join request on (the design); FALSE: seeded fault

Boxes == FirstBoxes \cup SpareBoxes
Symmetry == Permutations(FirstBoxes) \cup Permutations(SpareBoxes)
SeedCount == 3

VARIABLES voters,    \* members with a vote
          life,      \* the life of each box's disk
          state,     \* "spare", "up", "down" (its disk survives), "empty" (lost its disk, not started yet), "gone"
          seeds,     \* the boxes that an empty box knows
          leader,    \* the box that leads, if it answers and has a majority
          lost,      \* boxes lost since the group was settled
          total      \* boxes lost in all

vars == <<voters, life, state, seeds, leader, lost, total>>

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

CanAdmit(j) == HasLeader /\ j \in Joining /\ ReachesLeader(j)
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

Init ==
    /\ voters = {<<b, 1>> : b \in FirstBoxes}
    /\ life = [b \in Boxes |-> 1]
    /\ state = [b \in Boxes |-> IF b \in FirstBoxes THEN "up" ELSE "spare"]
    /\ seeds = [b \in Boxes |-> {}]
    /\ leader \in FirstBoxes
    /\ lost = 0 /\ total = 0

\* Up to Tolerated boxes are lost at the same time: those in "replaced" for good, the others come back with empty disks.
Lose ==
    \E gone \in SUBSET {b \in Boxes : state[b] = "up"} : \E replaced \in SUBSET gone : \E came \in SUBSET SpareBoxes :
        /\ Settled /\ gone # {} /\ Cardinality(gone) <= Tolerated
        /\ total + Cardinality(gone) <= MaxLost
        /\ Cardinality(came) = Cardinality(replaced) /\ \A b \in came : state[b] = "spare"
        /\ state' = [b \in Boxes |->
               IF b \in replaced THEN "gone" ELSE IF b \in gone \cup came THEN "empty" ELSE state[b]]
        /\ life' = [b \in Boxes |-> IF b \in gone \ replaced THEN life[b] + 1 ELSE life[b]]
        /\ lost' = Cardinality(gone) /\ total' = total + Cardinality(gone)
        /\ UNCHANGED <<voters, seeds, leader>>

StartEmpty(b) ==
    \E known \in SUBSET {x \in Boxes \ {b} : state[x] \notin {"spare", "gone"}} :
        /\ state[b] = "empty"
        /\ Cardinality(known) = SeedCount
        /\ \E s \in known : <<s, life[s]>> \in Answering
        /\ state' = [state EXCEPT ![b] = "up"]
        /\ seeds' = [seeds EXCEPT ![b] = known]
        /\ UNCHANGED <<voters, life, leader, lost, total>>

\* A box goes down and comes back with its disk; it then knows the members of its log.
GoDown(b) ==
    /\ state[b] = "up" /\ <<b, life[b]>> \in voters
    /\ Cardinality({x \in Boxes : state[x] = "down"}) < MaxDown
    /\ state' = [state EXCEPT ![b] = "down"]
    /\ seeds' = [seeds EXCEPT ![b] = {v[1] : v \in voters} \ {b}]
    /\ UNCHANGED <<voters, life, leader, lost, total>>

ComeBack(b) ==
    /\ state[b] = "down"
    /\ state' = [state EXCEPT ![b] = "up"]
    /\ UNCHANGED <<voters, life, seeds, leader, lost, total>>

Elect(b) ==
    /\ b # leader /\ Leads(b)
    /\ leader' = b
    /\ UNCHANGED <<voters, life, state, seeds, lost, total>>

\* First the former member of the box is removed, then the box is added.
Admit(j) ==
    LET former == {v \in voters : v[1] = j[1]}
    IN /\ CanAdmit(j)
       /\ voters' = IF former # {} THEN voters \ former ELSE voters \cup {j}
       /\ seeds' = IF former # {} THEN seeds ELSE [seeds EXCEPT ![j[1]] = {}]
       /\ UNCHANGED <<life, state, leader, total>>
       /\ lost' = IF Settled' THEN 0 ELSE lost

Remove(s) ==
    /\ CanRemove(s)
    /\ voters' = voters \ {s}
    /\ UNCHANGED <<life, state, seeds, leader, total>>
    /\ lost' = IF Settled' THEN 0 ELSE lost

Next ==
    \/ Lose
    \/ \E b \in Boxes : StartEmpty(b) \/ GoDown(b) \/ ComeBack(b) \/ Elect(b)
    \/ \E j \in Joining : Admit(j)
    \/ \E s \in Silent : Remove(s)

Spec == Init /\ [][Next]_vars

----------------------------------------------------------------------------
\* Losses that are tolerated leave a majority, unless more boxes are down meanwhile.
MajorityAnswers == (\A b \in Boxes : state[b] # "down") => HasMajority

\* An acknowledged entry is on more disks than may still be lost.
EnoughDisks == Cardinality(voters) \div 2 + 1 > Tolerated - lost

\* Once nothing is left to do, those that run are the members, and none that is gone is one.
NoBoxIsLeftOut == Quiet => voters = Running
============================================================================

----------------------------- MODULE Formation -----------------------------
(***************************************************************************)
(* How the control boxes come to be one group: at the very first start a   *)
(* box that the settings name as a seed, and that may form the group,      *)
(* writes the seeds down as the first members; every other box, and every  *)
(* box whose disk was lost or that takes another's place, starts outside   *)
(* and asks to join.  Meanwhile operators may name other seeds.  There     *)
(* must never be a second group.                                           *)
(*                                                                         *)
(* A group is known here by the members that it was formed with; what the  *)
(* group does once it is there stands in the module Agreement.             *)
(***************************************************************************)
EXTENDS FiniteSets, Naturals

CONSTANTS Boxes,          \* boxes, model values
          FirstSeeds,     \* the seeds at the first start
          OtherSeeds,     \* seeds that operators may name later
          MaxLosses,      \* disks lost
          FormsOnce       \* TRUE: the right to form ends with the first start (the design); FALSE: seeded fault

VARIABLES seeds,          \* what the settings name now
          mayForm,        \* boxes whose settings still say that they may form the group
          disk,           \* what each box has written: Nothing, Outside, or the members that it formed with
          joined,         \* the group that each outside box was admitted to, Nothing if none
          losses

vars == <<seeds, mayForm, disk, joined, losses>>

Nothing == {}
Outside == {"outside"}
Groups == {disk[b] : b \in {c \in Boxes : disk[c] # Nothing /\ disk[c] # Outside}}
            \cup {joined[b] : b \in {c \in Boxes : joined[c] # Nothing}}

Init ==
    /\ seeds = FirstSeeds
    /\ mayForm = FirstSeeds
    /\ disk = [b \in Boxes |-> Nothing]
    /\ joined = [b \in Boxes |-> Nothing]
    /\ losses = 0

\* A start of a box whose disk is empty.  By design the right to form ends there.
Start(b) ==
    /\ disk[b] = Nothing
    /\ disk' = [disk EXCEPT ![b] = IF b \in mayForm /\ b \in seeds THEN seeds ELSE Outside]
    /\ mayForm' = IF FormsOnce THEN mayForm \ {b} ELSE mayForm
    /\ UNCHANGED <<seeds, joined, losses>>

\* A box that is outside is admitted by a member of some group that it can reach.
Join(b) ==
    \E g \in Groups :
        /\ disk[b] = Outside /\ joined[b] = Nothing
        /\ joined' = [joined EXCEPT ![b] = g]
        /\ UNCHANGED <<seeds, mayForm, disk, losses>>

LoseDisk(b) ==
    /\ losses < MaxLosses /\ disk[b] # Nothing
    /\ losses' = losses + 1
    /\ disk' = [disk EXCEPT ![b] = Nothing]
    /\ joined' = [joined EXCEPT ![b] = Nothing]
    /\ UNCHANGED <<seeds, mayForm>>

\* Operators name other seeds once the first group stands.
NameOtherSeeds ==
    /\ seeds # OtherSeeds
    /\ \A b \in FirstSeeds : disk[b] # Nothing
    /\ seeds' = OtherSeeds
    /\ mayForm' = IF FormsOnce THEN mayForm ELSE mayForm \cup OtherSeeds
    /\ UNCHANGED <<disk, joined, losses>>

Next ==
    \/ \E b \in Boxes : Start(b) \/ Join(b) \/ LoseDisk(b)
    \/ NameOtherSeeds

Spec == Init /\ [][Next]_vars

----------------------------------------------------------------------------
OneGroup == Cardinality(Groups) <= 1
============================================================================

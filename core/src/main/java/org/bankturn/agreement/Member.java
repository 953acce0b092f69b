package org.bankturn.agreement;

/**
 * A member of a Raft group, identified by its box and the incarnation of its data directory.
 *
 * <p>A box that lost its disk returns as a different member with a new incarnation, so that it cannot vote twice in a
 * term. The address may change and is not part of equality.
 *
 * @param box the name of the box, not null
 * @param incarnation the random number written when the data directory is first used
 * @param address the host and port of the member's node port, not null
 */
public record Member(String box, long incarnation, String address) implements Comparable<Member> {
    @Override
    public int compareTo(Member other) {
        int byBox = box.compareTo(other.box);
        return byBox != 0 ? byBox : Long.compare(incarnation, other.incarnation);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Member member && incarnation == member.incarnation && box.equals(member.box);
    }

    @Override
    public int hashCode() {
        return 31 * box.hashCode() + Long.hashCode(incarnation);
    }
}

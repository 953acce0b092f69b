package org.bankturn.agreement;

/**
 * A control box in one life of its disk.
 *
 * <p>A box that lost its disk comes back with a new incarnation and so as another member: it cannot vote in the place of
 * the member that it was. {@code incarnation} is a random number written when the data folder is first used. Where a
 * member is reached may change or look different from elsewhere, so the address does not count for equality.
 *
 * @param box the box's name, not null
 * @param incarnation the life of its disk
 * @param address host:port of its node port, not null
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

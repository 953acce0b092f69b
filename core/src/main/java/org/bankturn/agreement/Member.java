package org.bankturn.agreement;

/**
 * A control box in one life of its disk.
 *
 * <p>A box that lost its disk comes back with a new incarnation and so as another member: it cannot vote in the place of
 * the member that it was. {@code incarnation} is a random number written when the data folder is first used.
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

    /**
     * Tells whether two members are the same box in the same life of its disk, wherever it is reached.
     *
     * @param other the other member, null allowed
     * @return true if box and incarnation are equal
     */
    public boolean isSameLife(Member other) {
        return other != null && incarnation == other.incarnation && box.equals(other.box);
    }
}

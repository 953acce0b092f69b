package org.bankturn.lease;

/**
 * The right to give orders to one engine.
 *
 * @param name what is leased, such as a box's name, not null
 * @param holder the process that holds it, unique to one start of it, not null
 * @param fence the number that every order under this lease carries; it only grows
 * @param durationMillis how long it lasts from when it was asked for
 * @param released true once the holder has given it up
 */
public record Lease(String name, String holder, long fence, long durationMillis, boolean released) {
    /** Returns this lease, given up, not null. */
    public Lease asReleased() {
        return new Lease(name, holder, fence, durationMillis, true);
    }
}

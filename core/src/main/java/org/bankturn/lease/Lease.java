package org.bankturn.lease;

/**
 * The exclusive right to send orders to one engine.
 *
 * @param name the name of the leased resource, such as a box, not null
 * @param holder the holding process, unique for each start of the process, not null
 * @param fence the fencing token sent with every order; it increases with each lease
 * @param durationMillis the duration, starting at the time of the request
 * @param released true if the holder has released the lease
 */
public record Lease(String name, String holder, long fence, long durationMillis, boolean released) {
    /** Returns a released copy of this lease, not null. */
    public Lease asReleased() {
        return new Lease(name, holder, fence, durationMillis, true);
    }
}

package org.bankturn.weights;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * The times at which a box learned of the versions of its model.
 *
 * <p>An engine must change by the deadline of the first version that is newer than the one it holds, whichever newer
 * version it changes to. If versions are published in quick succession and each box counted from the version that it
 * changes to, all engines could still hold the oldest version at the deadline of the second.
 *
 * <p>PublicationTimes is mutable and not thread-safe.
 */
public final class PublicationTimes {
    /** The number of versions that are retained; engines are rarely more than two versions behind. */
    private static final int MAX_VERSIONS = 8;

    private final TreeMap<Integer, Long> millisByVersion = new TreeMap<>();

    /** Returns times without any version, not null. */
    public static PublicationTimes none() {
        return new PublicationTimes();
    }

    private PublicationTimes() {}

    /** Records that a version became known; the first time recorded applies. */
    public void record(int version, long millis) {
        millisByVersion.putIfAbsent(version, millis);
        while (millisByVersion.size() > MAX_VERSIONS) {
            millisByVersion.pollFirstEntry();
        }
    }

    /** Returns when the first version newer than the given one became known, empty if there is none. */
    public OptionalLong firstNewerThan(int version) {
        Map.Entry<Integer, Long> newer = millisByVersion.higherEntry(version);
        return newer == null ? OptionalLong.empty() : OptionalLong.of(newer.getValue());
    }

    @Override
    public String toString() {
        return "PublicationTimes" + millisByVersion;
    }
}

package org.bankturn.harness;

/**
 * The least time in which one source can bring the same bytes to many boxes (Kumar and Ross 2006).
 *
 * @param seconds the bound in seconds
 */
public record BurstBound(double seconds) {
    /**
     * Works the bound out.
     *
     * @param bytes the size of the weights
     * @param boxes the number of boxes
     * @param originBytesPerSecond the origin's link
     * @param boxBytesPerSecond each box's link, each way
     * @return the bound, not null
     */
    public static BurstBound of(long bytes, int boxes, long originBytesPerSecond, long boxBytesPerSecond) {
        double all = (double) boxes * bytes / (originBytesPerSecond + (double) boxes * boxBytesPerSecond);
        double download = (double) bytes / boxBytesPerSecond;
        double upload = (double) bytes / originBytesPerSecond;
        return new BurstBound(Math.max(all, Math.max(download, upload)));
    }
}

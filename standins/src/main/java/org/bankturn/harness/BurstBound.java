package org.bankturn.harness;

/**
 * The minimum time to distribute a file from one origin to many peers (Kumar and Ross 2006).
 *
 * @param seconds the lower bound in seconds
 */
public record BurstBound(double seconds) {
    /**
     * Computes the bound.
     *
     * @param bytes the size of the weights
     * @param boxes the number of boxes
     * @param originBytesPerSecond the upload rate of the origin
     * @param boxBytesPerSecond the rate of each box, per direction
     * @return the bound, not null
     */
    public static BurstBound of(long bytes, int boxes, long originBytesPerSecond, long boxBytesPerSecond) {
        double all = (double) boxes * bytes / (originBytesPerSecond + (double) boxes * boxBytesPerSecond);
        double download = (double) bytes / boxBytesPerSecond;
        double upload = (double) bytes / originBytesPerSecond;
        return new BurstBound(Math.max(all, Math.max(download, upload)));
    }
}

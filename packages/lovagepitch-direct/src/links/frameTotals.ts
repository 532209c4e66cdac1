/**
 * Frames and bytes that a process has exchanged with its peers since it started.
 */

/** Totals of all connections of a process, which the streams of the connections count. */
export class FrameTotals {
    public sentFrames = 0;
    public receivedFrames = 0;
    /** Bytes of sent frames with their headers. */
    public sentBytes = 0;
    public receivedBytes = 0;

    /**
     * Counts a sent frame.
     *
     * @param bytes - size of the frame with its header, in bytes
     */
    public recordSent(bytes: number): void {
        this.sentFrames += 1;
        this.sentBytes += bytes;
    }
}

/**
 * Frames and bytes that a process has exchanged with its peers since it started.
 */

/** Totals of all connections of a process. */
export class FrameTotals {
    public sentFrames = 0;
    public receivedFrames = 0;
    /** Bytes of sent frames with their headers. */
    public sentBytes = 0;
    /** Bytes that were read, also those of incomplete frames. */
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

    /**
     * Counts bytes that were read.
     *
     * @param bytes - number of bytes
     */
    public recordRead(bytes: number): void {
        this.receivedBytes += bytes;
    }

    /** Counts a received frame. */
    public recordReceived(): void {
        this.receivedFrames += 1;
    }
}

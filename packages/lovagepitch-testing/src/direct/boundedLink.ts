/**
 * Outgoing link of a simulated entry that carries a bounded number of bytes a second.
 */
import { EntryFrameFormat } from "@lovagepitch/direct/links/entryFrameFormat";
import { createBinaryFrame } from "@lovagepitch/direct/links/frameBuffer";
import { packFrame } from "@lovagepitch/direct/links/framePacker";
import type { EntryFrame } from "@lovagepitch/direct/model/frames";
import { entryLeaseMilliseconds } from "@lovagepitch/direct/model/timing";
import type { ManualClock } from "@lovagepitch/utils/clock";

/** Headers of a packet, in bytes. */
const packetOverheadBytes = 66;

/** An answer to a caller, in bytes. */
const answerBytes = 300;

/** Link with one queue, which counts what arrives while it is useful. */
export class BoundedLink {
    /** Bytes that arrived within the lease of the entry. */
    public usefulBytes = 0;
    /** Bytes that were sent, whether or not they have arrived. */
    public sentBytes = 0;
    /** Start orders that arrived after the lease of the entry, in milliseconds. */
    public outdatedStarts = 0;
    /** Longest time that a frame has waited, in milliseconds. */
    public longestWaitMilliseconds = 0;
    private readonly formats = new Map<number, EntryFrameFormat>();
    private readonly sizes = new WeakMap<EntryFrame, number>();
    private freeAt = 0;

    /**
     * @param clock - clock of the deployment
     * @param bytesPerSecond - rate of the link
     */
    public constructor(private readonly clock: ManualClock, private readonly bytesPerSecond: number) {}

    /**
     * Puts a frame into the queue.
     *
     * @param connection - number of the connection
     * @param frame - frame to send
     * @returns time until its last byte has left, in milliseconds
     */
    public send(connection: number, frame: EntryFrame): number {
        const format = this.formats.get(connection) ?? new EntryFrameFormat();
        this.formats.set(connection, format);
        const bytes = packetOverheadBytes + createBinaryFrame(packFrame(format.toWire(frame))).length;
        this.sizes.set(frame, bytes);
        const wait = this.occupy(bytes);
        this.longestWaitMilliseconds = Math.max(this.longestWaitMilliseconds, wait);
        return wait;
    }

    /** Puts an answer to a caller into the queue. */
    public sendAnswer(): void {
        this.occupy(answerBytes);
        this.usefulBytes += answerBytes;
    }

    /**
     * Records that a frame has arrived.
     *
     * @param frame - the frame
     */
    public recordArrival(frame: EntryFrame): void {
        if (this.clock.nowMilliseconds() - frame.newestSentAt <= entryLeaseMilliseconds) {
            this.usefulBytes += this.sizes.get(frame) ?? 0;
        }
        else {
            this.outdatedStarts += frame.starts.length;
        }
    }

    private occupy(bytes: number): number {
        const now = this.clock.nowMilliseconds();
        this.sentBytes += bytes;
        this.freeAt = Math.max(now, this.freeAt) + bytes * 1000 / this.bytesPerSecond;
        return this.freeAt - now;
    }
}

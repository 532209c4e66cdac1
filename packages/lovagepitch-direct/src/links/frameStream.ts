/**
 * Frames on a TCP connection, in the newest format that both ends know. The end that opened the connection sends its
 * first frame in JSON, with the versions of the binary format that it knows; each end sends binary frames once it has
 * learned that the other one reads them.
 */
import { parseUntrustedJson } from "@lovagepitch/utils/untrustedJson";
import type { Socket } from "node:net";
import { createBinaryFrame, FrameBuffer, FrameBufferError, type ReceivedFrame } from "./frameBuffer.js";
import { type FrameFormat, frameFormatVersion } from "./frameFormat.js";
import { packFrame, unpackFrame } from "./framePacker.js";
import { FrameTotals } from "./frameTotals.js";
import { hasTooManyPackedElements } from "./packedElements.js";

/** Unsent bytes above which the connection is closed because the peer does not read. */
const maximumBufferedBytes = 8 * 1024 * 1024;

/** Callbacks of a stream. */
export interface FrameListener<Frame> {
    /** Called with each received frame. */
    readonly onFrame: (frame: Frame) => void;
    /** Called after received bytes were processed. */
    readonly onBytesProcessed?: () => void;
    /** Called once when the connection has closed. */
    readonly onEnd: (end: StreamEnd) => void;
}

/** How a connection has ended. */
export interface StreamEnd {
    /** True when no process listened at the address. */
    readonly wasRefused: boolean;
    /** True when this end closed it because it could not read a frame. */
    readonly isUnreadable: boolean;
    readonly reason: string;
}

/** Formats of the two directions of a connection, and the check of received frames. */
export interface FrameProtocol<Incoming, Outgoing> {
    readonly incoming: FrameFormat<Incoming>;
    readonly outgoing: FrameFormat<Outgoing>;
    readonly isFrame: (value: unknown) => value is Incoming;
}

/** Field that a JSON frame has beside those of the frame. */
interface FormatOffer {
    /** Versions of the binary format that the sender reads; missing when it reads JSON only. */
    readonly frameFormats?: unknown;
}

/** Stream that receives frames of type `Incoming` and sends frames of type `Outgoing`. */
export class FrameStream<Incoming, Outgoing> {
    private readonly buffer = new FrameBuffer();
    private sendsBinary = false;
    private hasEnded = false;
    private error: NodeJS.ErrnoException | undefined;

    /**
     * @param socket - TCP connection, which may still be opening
     * @param protocol - formats, and type guard for received frames
     * @param listener - callbacks for received frames and the end of the connection
     * @param totals - counts the frames and bytes
     */
    public constructor(
        private readonly socket: Socket,
        private readonly protocol: FrameProtocol<Incoming, Outgoing>,
        private readonly listener: FrameListener<Incoming>,
        private readonly totals = new FrameTotals(),
    ) {
        socket.setNoDelay(true);
        socket.on("data", (bytes: Buffer) => this.receive(bytes));
        socket.on("error", error => {
            this.error = error;
        });
        socket.on("close", () => this.end(this.error?.message ?? "closed by the peer", false));
    }

    /** Memory that the bytes of an incomplete frame take, in bytes. */
    public get heldBytes(): number {
        return this.buffer.heldBytes;
    }

    /** Bytes that were passed to the stream and not yet to the operating system. */
    public get unsentBytes(): number {
        return this.socket.writableLength;
    }

    /**
     * Sends a frame with one write to the socket, or drops it if the connection has been closed.
     *
     * @param frame - frame to send
     */
    public send(frame: Outgoing): void {
        if (this.hasEnded) {
            return;
        }
        const bytes = this.sendsBinary
            ? createBinaryFrame(packFrame(this.protocol.outgoing.toWire(frame)))
            : Buffer.from(JSON.stringify({ ...frame, frameFormats: [frameFormatVersion] }) + "\n");
        this.totals.recordSent(bytes.length);
        this.socket.write(bytes);
        if (this.socket.writableLength > maximumBufferedBytes) {
            this.close("the peer does not read");
        }
    }

    /**
     * Closes the connection immediately; data that arrives later is discarded.
     *
     * @param reason - reason that is passed to the listener
     */
    public close(reason: string): void {
        this.socket.destroy();
        this.end(reason, false);
    }

    private receive(bytes: Buffer): void {
        if (this.hasEnded) {
            return;
        }
        this.totals.recordRead(bytes.length);
        this.buffer.add(bytes);
        try {
            for (let frame = this.buffer.take(); frame !== undefined && !this.hasEnded; frame = this.buffer.take()) {
                this.process(frame);
            }
        }
        catch (error) {
            if (!(error instanceof FrameBufferError)) {
                throw error;
            }
            this.refuse(error.message);
        }
        this.listener.onBytesProcessed?.();
    }

    private process(received: ReceivedFrame): void {
        let value: unknown;
        try {
            value = this.decode(received);
        }
        catch {
            this.refuse("a frame cannot be decoded; only processes of this deployment may connect");
            return;
        }
        if (this.protocol.isFrame(value)) {
            this.totals.recordReceived();
            this.listener.onFrame(value);
        }
        else {
            this.refuse("a frame lacks fields; run the same version at both ends");
        }
    }

    private decode({ encoding, body }: ReceivedFrame): unknown {
        if (encoding === "binary") {
            if (hasTooManyPackedElements(body)) {
                throw new RangeError("the frame has too many elements");
            }
            this.sendsBinary = true;
            return this.protocol.incoming.fromWire(unpackFrame(body));
        }
        const value = parseUntrustedJson(body) as FormatOffer | undefined;
        if (value === undefined) {
            throw new TypeError("the frame is not JSON or has too many elements");
        }
        this.sendsBinary ||= Array.isArray(value.frameFormats) && value.frameFormats.includes(frameFormatVersion);
        return value;
    }

    private refuse(reason: string): void {
        this.socket.destroy();
        this.end(reason, true);
    }

    private end(reason: string, isUnreadable: boolean): void {
        if (!this.hasEnded) {
            this.hasEnded = true;
            this.buffer.clear();
            this.listener.onEnd({ wasRefused: this.error?.code === "ECONNREFUSED", isUnreadable, reason });
        }
    }
}

/**
 * Frames on a TCP connection, each a JSON document on a line of its own.
 */
import type { Socket } from "node:net";

/** Largest frame, in bytes; a configuration with several thousand routes fits. */
const maximumFrameBytes = 4 * 1024 * 1024;

/** Unsent bytes above which the connection is closed because the peer does not read. */
const maximumBufferedBytes = 8 * 1024 * 1024;

/** Callbacks of a stream. */
export interface FrameListener<Frame> {
    /** Called with each received frame. */
    readonly onFrame: (frame: Frame) => void;
    /** Called once when the connection has closed; `wasRefused` is true when no process listened at the address. */
    readonly onEnd: (wasRefused: boolean, reason: string) => void;
}

/** Stream that receives frames of type `Incoming` and sends frames of type `Outgoing`. */
export class FrameStream<Incoming, Outgoing> {
    private readonly chunks: string[] = [];
    private bufferedLength = 0;
    private hasEnded = false;
    private error: NodeJS.ErrnoException | undefined;

    /**
     * @param socket - TCP connection, which may still be opening
     * @param isFrame - type guard for received frames
     * @param listener - callbacks for received frames and the end of the connection
     */
    public constructor(
        private readonly socket: Socket,
        private readonly isFrame: (value: unknown) => value is Incoming,
        private readonly listener: FrameListener<Incoming>,
    ) {
        socket.setNoDelay(true);
        socket.setEncoding("utf8");
        socket.on("data", (text: string) => this.receive(text));
        socket.on("error", error => {
            this.error = error;
        });
        socket.on("close", () => this.end(this.error?.message ?? "closed by the peer"));
    }

    /**
     * Sends a frame, or drops it if the connection has been closed.
     *
     * @param frame - frame to send
     */
    public send(frame: Outgoing): void {
        if (this.hasEnded) {
            return;
        }
        this.socket.write(JSON.stringify(frame) + "\n");
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
        this.end(reason);
    }

    private receive(text: string): void {
        let start = 0;
        for (let end = text.indexOf("\n"); end >= 0 && !this.hasEnded; end = text.indexOf("\n", start)) {
            this.chunks.push(text.slice(start, end));
            const line = this.chunks.length === 1 ? this.chunks[0] ?? "" : this.chunks.join("");
            this.chunks.length = 0;
            this.bufferedLength = 0;
            start = end + 1;
            this.parse(line);
        }
        if (start < text.length) {
            this.chunks.push(text.slice(start));
            this.bufferedLength += text.length - start;
        }
        if (this.bufferedLength > maximumFrameBytes) {
            this.close("a frame is too long");
        }
    }

    private parse(line: string): void {
        let value: unknown;
        try {
            value = JSON.parse(line);
        }
        catch {
            this.close("a frame is not JSON; only processes of this deployment may connect");
            return;
        }
        if (this.isFrame(value)) {
            this.listener.onFrame(value);
        }
        else {
            this.close("a frame lacks fields; run the same version at both ends");
        }
    }

    private end(reason: string): void {
        if (!this.hasEnded) {
            this.hasEnded = true;
            this.listener.onEnd(this.error?.code === "ECONNREFUSED", reason);
        }
    }
}

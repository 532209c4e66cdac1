/**
 * Frames on a TCP connection: one JSON document a line.
 */
import type { Socket } from "node:net";

/** Longest frame, in bytes; a configuration of some thousand routes fits. */
const maximumFrameBytes = 4 * 1024 * 1024;

/** Bytes that may wait for a peer that does not read before its connection is closed. */
const maximumBufferedBytes = 8 * 1024 * 1024;

/** What a stream tells its owner. */
export interface FrameListener<Frame> {
    /** A frame arrived. */
    readonly onFrame: (frame: Frame) => void;
    /** The connection ended; `refused` when nothing listened at the other end. */
    readonly onEnd: (refused: boolean, reason: string) => void;
}

/** Sends frames of one type and receives frames of another. */
export class FrameStream<Incoming, Outgoing> {
    private readonly chunks: string[] = [];
    private bufferedLength = 0;
    private hasEnded = false;
    private error: NodeJS.ErrnoException | undefined;

    /**
     * @param socket - the connection; it may still be opening
     * @param isFrame - tells a frame from other data
     * @param listener - is told of frames and of the end
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
     * Sends a frame; after the end of the connection it is dropped.
     *
     * @param frame - the frame
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
     * Closes the connection at once; nothing that arrives later is handed on.
     *
     * @param reason - why
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

/**
 * Splits received bytes into frames. A frame is binary, with a header of four bytes, or a JSON document on a line of its
 * own, by which peers that do not know the binary format are understood.
 */
import { ByteCollector } from "@lovagepitch/utils/byteCollector";
import { frameFormatVersion } from "./frameFormat.js";

/** Largest frame, in bytes; a configuration with several thousand routes fits. */
const maximumFrameBytes = 4 * 1024 * 1024;

/** Length of the header of a binary frame: one byte of format version and three of length, most significant first. */
const headerBytes = 4;

/** First byte of each JSON frame. */
const openingBrace = 0x7b;

const lineFeed = 0x0a;

/** A received frame that has not been decoded. */
export interface ReceivedFrame {
    readonly encoding: "json" | "binary";
    readonly body: Buffer;
}

/** Received bytes that cannot be split into frames. */
export class FrameBufferError extends Error {
    public override readonly name = "FrameBufferError";

    /**
     * @param kind - `unknown-format` when the peer uses a format that this process does not know
     * @param message - cause and remedy
     */
    public constructor(public readonly kind: "unknown-format" | "too-long", message: string) {
        super(message);
    }
}

/** Received bytes of one connection. */
export class FrameBuffer {
    private readonly collector = new ByteCollector();
    /** Number of buffered bytes below which no frame is complete. */
    private requiredLength = 1;

    /** Memory that the received bytes take, in bytes. */
    public get heldBytes(): number {
        return this.collector.heldBytes;
    }

    /**
     * Adds received bytes.
     *
     * @param chunk - bytes in the order of their arrival
     */
    public add(chunk: Buffer): void {
        const isLineOpen = this.collector.length > 0 && this.requiredLength === Number.POSITIVE_INFINITY;
        this.collector.add(chunk);
        if (isLineOpen && chunk.includes(lineFeed)) {
            this.requiredLength = this.collector.length;
        }
    }

    /** Forgets all received bytes. */
    public clear(): void {
        this.collector.clear();
    }

    /**
     * Removes the next complete frame.
     *
     * @returns the frame, or undefined when more bytes are needed
     * @throws FrameBufferError when the bytes are not frames
     */
    public take(): ReceivedFrame | undefined {
        const { length } = this.collector;
        if (length < this.requiredLength || length === 0) {
            this.assertLength(length);
            return undefined;
        }
        const bytes = this.collector.concat();
        return bytes[0] === openingBrace ? this.takeLine(bytes) : this.takeBinary(bytes);
    }

    private takeLine(bytes: Buffer): ReceivedFrame | undefined {
        const end = bytes.indexOf(lineFeed);
        if (end < 0) {
            this.assertLength(bytes.length);
            this.requiredLength = Number.POSITIVE_INFINITY;
            return undefined;
        }
        this.keep(bytes, end + 1);
        return { encoding: "json", body: bytes.subarray(0, end) };
    }

    private takeBinary(bytes: Buffer): ReceivedFrame | undefined {
        if (bytes[0] !== frameFormatVersion) {
            throw new FrameBufferError(
                "unknown-format",
                `a frame has the unknown format ${bytes[0]}; only processes of this deployment may connect`,
            );
        }
        if (bytes.length < headerBytes) {
            this.requiredLength = headerBytes;
            return undefined;
        }
        const end = headerBytes + bytes.readUIntBE(1, headerBytes - 1);
        this.assertLength(end);
        if (bytes.length < end) {
            this.requiredLength = end;
            return undefined;
        }
        this.keep(bytes, end);
        return { encoding: "binary", body: bytes.subarray(headerBytes, end) };
    }

    private keep(bytes: Buffer, start: number): void {
        this.collector.clear();
        if (start < bytes.length) {
            this.collector.add(bytes.subarray(start));
        }
        this.requiredLength = 1;
    }

    private assertLength(length: number): void {
        if (length > maximumFrameBytes) {
            throw new FrameBufferError(
                "too-long",
                "a frame is too long; only processes of this deployment may connect",
            );
        }
    }
}

/**
 * Adds the header of a binary frame.
 *
 * @param body - packed frame
 * @returns the bytes to send
 */
export function createBinaryFrame(body: Uint8Array): Buffer {
    const bytes = Buffer.allocUnsafe(headerBytes + body.length);
    bytes[0] = frameFormatVersion;
    bytes.writeUIntBE(body.length, 1, headerBytes - 1);
    bytes.set(body, headerBytes);
    return bytes;
}

/**
 * Encoding of tRPC envelopes as WebSocket frames.
 */
import { LinkError } from "./linkError.js";

/** A frame as it is sent: text or binary. */
export type EncodedFrame = string | Uint8Array<ArrayBuffer>;

/** Encodes and decodes frames. */
export abstract class FrameCodec {
    /**
     * Encodes an envelope.
     *
     * @param envelope - any JSON value
     * @returns the frame
     * @throws LinkError when the frame would exceed its size limit, or the library's error when encoding fails
     */
    public abstract encode(envelope: unknown): EncodedFrame;

    /**
     * Decodes a frame.
     *
     * @param frame - the received frame
     * @returns the envelope, not yet validated
     * @throws LinkError when the frame is not in this encoding
     */
    public abstract decode(frame: string | ArrayBuffer | Uint8Array): unknown;
}

/** JSON in text frames. */
export class JsonFrameCodec extends FrameCodec {
    /**
     * @param maximumFrameBytes - largest frame, in bytes
     */
    public constructor(private readonly maximumFrameBytes: number) {
        super();
    }

    /** {@inheritDoc FrameCodec.encode} */
    public override encode(envelope: unknown): string {
        const text = JSON.stringify(envelope);
        // A UTF-16 code unit takes at most 3 bytes in UTF-8, so only a long text needs its bytes counted.
        if (text.length * 3 > this.maximumFrameBytes && Buffer.byteLength(text) > this.maximumFrameBytes) {
            throw new LinkError(
                "unsendable",
                "the batch is larger than a frame may be; send fewer messages in a batch",
            );
        }
        return text;
    }

    /** {@inheritDoc FrameCodec.decode} */
    public override decode(frame: string | ArrayBuffer | Uint8Array): unknown {
        if (typeof frame !== "string") {
            throw new LinkError("malformed", "the frame is binary; both ends must use the same version of the links");
        }
        return JSON.parse(frame);
    }
}

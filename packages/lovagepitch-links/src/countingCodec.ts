/**
 * Frame codec that maintains counters.
 */
import { type EncodedFrame, FrameCodec } from "./frameCodec.js";
import type { MutableLinkCounters } from "./linkCounters.js";

/** Wraps a codec and counts the bytes of its frames and the frames that cannot be encoded or decoded. */
export class CountingCodec extends FrameCodec {
    /**
     * @param codec - the wrapped codec
     * @param counters - counters to increase
     */
    public constructor(private readonly codec: FrameCodec, private readonly counters: MutableLinkCounters) {
        super();
    }

    /** {@inheritDoc FrameCodec.encode} */
    public override encode = (envelope: unknown): EncodedFrame => {
        try {
            const frame = this.codec.encode(envelope);
            this.counters.bytesSent += Buffer.byteLength(frame);
            return frame;
        }
        catch (error) {
            this.counters.framesUnsendable += 1;
            throw error;
        }
    };

    /** {@inheritDoc FrameCodec.decode} */
    public override decode = (frame: string | ArrayBuffer | Uint8Array): unknown => {
        this.counters.bytesReceived += Buffer.byteLength(frame);
        try {
            return this.codec.decode(frame);
        }
        catch (error) {
            this.counters.batchesRefused += 1;
            throw error;
        }
    };
}

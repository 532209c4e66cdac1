/**
 * MessagePack in binary frames, which the benchmark of the links compares with JSON.
 */
import { Packr } from "msgpackr";
import { FrameCodec } from "./frameCodec.js";
import { LinkError } from "./linkError.js";

/** MessagePack codec based on msgpackr, which replaces lone surrogates in text and renames `__proto__` fields. */
export class MessagePackFrameCodec extends FrameCodec {
    private readonly packer: Packr;

    /**
     * @param useRecords - whether repeated object shapes are written only once per frame
     */
    public constructor(useRecords: boolean) {
        super();
        this.packer = new Packr({ useRecords, int64AsType: "number" });
    }

    /** {@inheritDoc FrameCodec.encode} */
    public override encode(envelope: unknown): Uint8Array<ArrayBuffer> {
        return this.packer.pack(envelope) as Uint8Array<ArrayBuffer>;
    }

    /** {@inheritDoc FrameCodec.decode} */
    public override decode(frame: string | ArrayBuffer | Uint8Array): unknown {
        if (typeof frame === "string") {
            throw new LinkError("malformed", "the frame is text; both ends must use the same version of the links");
        }
        return this.packer.unpack(frame instanceof ArrayBuffer ? new Uint8Array(frame) : frame);
    }
}

/**
 * Formats of the two directions of a connection to an entry's listener, whose other end is an agent or an entry that passes jobs on. The
 * frames of agents are arrays, those of entries are objects.
 */
import type { ForwardingFrame, ForwardingReply } from "../model/forwarding.js";
import type { AgentFrame, EntryFrame } from "../model/frames.js";
import { AgentFrameFormat } from "./agentFrameFormat.js";
import { EntryFrameFormat } from "./entryFrameFormat.js";
import { ForwardingFrameFormat, ForwardingReplyFormat } from "./forwardingFormat.js";
import { FrameFormat } from "./frameFormat.js";

/** Frame from an agent or from another entry. */
export type IncomingPeerFrame = AgentFrame | ForwardingFrame;

/** Frame to an agent or to another entry. */
export type OutgoingPeerFrame = EntryFrame | ForwardingReply;

/** Format of the frames that a listener receives. */
export class IncomingPeerFormat extends FrameFormat<IncomingPeerFrame> {
    private readonly agentFormat = new AgentFrameFormat();
    private readonly forwardingFormat = new ForwardingFrameFormat();

    /** {@inheritDoc FrameFormat.toWire} */
    public override toWire(frame: IncomingPeerFrame): unknown {
        return "kind" in frame ? this.forwardingFormat.toWire(frame) : this.agentFormat.toWire(frame);
    }

    /** {@inheritDoc FrameFormat.fromWire} */
    public override fromWire(value: unknown): unknown {
        return Array.isArray(value) ? this.agentFormat.fromWire(value) : this.forwardingFormat.fromWire(value);
    }
}

/** Format of the frames that a listener sends. */
export class OutgoingPeerFormat extends FrameFormat<OutgoingPeerFrame> {
    private readonly entryFormat = new EntryFrameFormat();
    private readonly replyFormat = new ForwardingReplyFormat();

    /** {@inheritDoc FrameFormat.toWire} */
    public override toWire(frame: OutgoingPeerFrame): unknown {
        return "kind" in frame ? this.replyFormat.toWire(frame) : this.entryFormat.toWire(frame);
    }

    /** {@inheritDoc FrameFormat.fromWire} */
    public override fromWire(value: unknown): unknown {
        return Array.isArray(value) ? this.entryFormat.fromWire(value) : this.replyFormat.fromWire(value);
    }
}

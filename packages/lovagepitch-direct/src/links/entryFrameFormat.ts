/**
 * Binary format of the frames from an entry to an agent.
 */
import type { EntryFrame } from "../model/frames.js";
import { ConstantField } from "./constantField.js";
import { addOthers, collectOthers, expectArray, FrameFormat } from "./frameFormat.js";
import { groupStarts, ungroupStarts } from "./startGroups.js";

const positionedFields: ReadonlySet<string> = new Set<keyof EntryFrame>([
    "entry",
    "sequence",
    "newestSentAt",
    "starts",
    "configuration",
]);

/** Fields whose default at the receiver is false or an empty array. */
const omittedWhenEmpty: ReadonlySet<string> = new Set<keyof EntryFrame>([
    "stops",
    "entryAddresses",
    "entryZones",
    "awaitsCapacity",
    "invitations",
    "crashes",
]);

const knownNotice: ReadonlySet<string> = new Set(["version"]);

const omittedNotice: ReadonlySet<string> = new Set(["isRequested"]);

/** Format of the frames from entries. */
export class EntryFrameFormat extends FrameFormat<EntryFrame> {
    private readonly entry = new ConstantField();

    /** {@inheritDoc FrameFormat.toWire} */
    public override toWire(frame: EntryFrame): unknown {
        return [
            this.entry.toWire(frame.entry),
            frame.sequence,
            frame.newestSentAt,
            frame.configuration.version,
            groupStarts(frame.starts),
            collectOthers(frame, positionedFields, omittedWhenEmpty),
            collectOthers(frame.configuration, knownNotice, omittedNotice),
        ];
    }

    /** {@inheritDoc FrameFormat.fromWire} */
    public override fromWire(value: unknown): unknown {
        const [entry, sequence, newestSentAt, version, starts, others, noticeOthers] = expectArray(value);
        const frame = {
            entry: this.entry.fromWire(entry),
            sequence,
            newestSentAt,
            starts: ungroupStarts(starts),
            stops: [],
            entryAddresses: [],
            entryZones: [],
            awaitsCapacity: false,
            invitations: [],
            crashes: [],
            configuration: addOthers({ version, configuration: undefined, isRequested: false }, noticeOthers),
        };
        return addOthers(frame, others);
    }
}

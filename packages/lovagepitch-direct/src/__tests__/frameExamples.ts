/**
 * Frames for tests of the formats, and the check that they are transferred unchanged.
 */
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import type { FrameFormat } from "../links/frameFormat.js";
import { packFrame, unpackFrame } from "../links/framePacker.js";
import type { AgentFrame, EntryFrame } from "../model/frames.js";
import { createRegistration } from "./agentDriver.js";

/** Capacity of the worker in the example of an agent's frame. */
export const { capacity: exampleCapacity } = createRegistration("life-1");

/**
 * Creates a frame of an agent.
 *
 * @param change - fields that differ from those of the example
 * @returns the frame
 */
export function createAgentFrame(change: Partial<AgentFrame> = {}): AgentFrame {
    return {
        agent: "agent-1",
        instance: "side-1",
        availabilityZone: "zone-1",
        sentAt: 1_000_000.5,
        includedSequence: 1,
        includedForMilliseconds: 3,
        worker: {
            service: "drives",
            labels: ["a"],
            capacity: exampleCapacity,
            free: exampleCapacity,
            awaited: exampleCapacity,
            acceptsTasks: true,
            isOnTrial: false,
        },
        ended: [],
        openRuns: undefined,
        configuration: { version: 1, configuration: undefined, isRequested: false },
        crashes: [],
        ...change,
    };
}

/**
 * Creates a frame of an entry.
 *
 * @param change - fields that differ from those of the example
 * @returns the frame
 */
export function createEntryFrame(change: Partial<EntryFrame> = {}): EntryFrame {
    return {
        entry: "entry-1",
        sequence: 2,
        newestSentAt: 1_000_000.5,
        starts: [],
        stops: [],
        entryAddresses: [],
        entryZones: [],
        awaitsCapacity: false,
        invitations: [],
        crashes: [],
        configuration: { version: 1, configuration: undefined, isRequested: false },
        ...change,
    };
}

/**
 * Tells whether frames preserve a number: as JSON does, the binary format takes negative zero for zero.
 *
 * @param value - number to send
 * @returns false for negative zero
 */
export function isPreserved(value: number): boolean {
    return !Object.is(value, -0);
}

/**
 * Asserts that sequences of frames are received as they were sent.
 *
 * @param frames - any frame
 * @param createFormat - creates the format of one end of a connection
 * @param isFrame - type guard for received frames
 */
export function assertTransferred<Frame>(
    frames: fastCheck.Arbitrary<Frame>,
    createFormat: () => FrameFormat<Frame>,
    isFrame: (value: unknown) => boolean,
): void {
    fastCheck.assert(
        fastCheck.property(fastCheck.array(frames, { minLength: 1, maxLength: 5 }), sequence => {
            const [sender, receiver] = [createFormat(), createFormat()];
            for (const frame of sequence) {
                const received = receiver.fromWire(unpackFrame(packFrame(sender.toWire(frame))));
                assert.deepEqual(received, frame);
                assert.ok(isFrame(received));
            }
        }),
        { numRuns: 500, seed: 1 },
    );
}

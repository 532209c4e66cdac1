/**
 * Messages and frames for the tests of the links.
 */
import type { PeerMessage } from "@lovagepitch/types/peerMessage";
import assert from "node:assert/strict";

/** Creates messages that differ in their number of slots. */
export function createMessages(count: number): readonly PeerMessage[] {
    return Array.from({ length: count }, (_item, index) => ({ type: "declineOffer", slots: index }));
}

/** Creates a message of about the given size that contains its index. */
export function createLongMessage(index: number, bytes: number): PeerMessage {
    return { type: "sealSubmissions", submissions: [`${index}`, ..."x".repeat(Math.floor(bytes / 4)).split("")] };
}

/** Creates the frame of a call of `deliver`. */
export function createCall(input: unknown): string {
    return JSON.stringify({ id: 1, method: "mutation", params: { path: "deliver", input } });
}

/** Creates a batch with the given sender address; no process has the default address. */
export function createBatch(messages: readonly unknown[], address = "127.0.0.1:9"): unknown {
    return { sender: { address, incarnation: "r" }, role: "agent", configurationVersion: 1, messages };
}

/** Creates a start whose payload is nested so deep that recursive code would overflow the stack. */
function createDeepCall(): string {
    const depth = 5_000;
    const call = createCall(createBatch([{
        type: "startTasks",
        submission: "s",
        agent: "a",
        startSequence: 1,
        team: "t",
        service: "s",
        kind: "k",
        deadlineAtMilliseconds: 1,
        tasks: [{ index: 0, payload: "deep", expectedMilliseconds: 1 }],
    }]));
    return call.replace("\"deep\"", "[".repeat(depth) + "]".repeat(depth));
}

/** Number of wrong elements with which the library's own lists overflow the stack. */
const manyElements = 300_000;

/**
 * Creates a batch whose messages are numbers.
 *
 * @returns the batch
 */
export function createWrongBatch(): unknown {
    return createBatch(Array.from({ length: manyElements }, () => 1));
}

/** Creates a frame that no correct process sends, by its name in the feature file. */
export function createFrame(name: string): string | Buffer {
    const frames: Readonly<Record<string, string | Buffer>> = {
        "no JSON": "{",
        "binary": Buffer.from([1, 2, 3]),
        "batch without sender": createCall({ role: "agent", configurationVersion: 1, messages: [] }),
        "unknown message type": createCall(createBatch([{ type: "shutDown" }])),
        "text for a number": createCall(createBatch([{ type: "declineOffer", slots: "1" }])),
        "a fraction for a count": createCall(createBatch([{ type: "declineOffer", slots: 0.5 }])),
        "deeply nested payload": createDeepCall(),
        "300000 wrong messages": createCall(createWrongBatch()),
        "300000 wrong names": createCall(createBatch([{
            type: "sealSubmissions",
            submissions: Array.from({ length: manyElements }, () => 1),
        }])),
        "unknown procedure": JSON.stringify({ id: 1, method: "query", params: { path: "nothing" } }),
        "no id": JSON.stringify({ method: "mutation", params: { path: "deliver", input: {} } }),
        "a JSON list": "[1, 2]",
        "a JSON null": "null",
    };
    const frame = frames[name];
    assert.ok(frame !== undefined, `no frame is named ${name}`);
    return frame;
}

/**
 * Messages and frames of the tests of the links.
 */
import type { PeerMessage } from "@lovagepitch/types/peerMessage";
import assert from "node:assert/strict";

/** Makes messages that are told apart by their slots. */
export function createMessages(count: number): readonly PeerMessage[] {
    return Array.from({ length: count }, (_item, index) => ({ type: "declineOffer", slots: index }));
}

/** Makes a message of about the given size that carries its index. */
export function createLongMessage(index: number, bytes: number): PeerMessage {
    return { type: "sealSubmissions", submissions: [`${index}`, ..."x".repeat(Math.floor(bytes / 4)).split("")] };
}

/** Makes the frame of a delivery. */
export function createCall(input: unknown): string {
    return JSON.stringify({ id: 1, method: "mutation", params: { path: "deliver", input } });
}

/** Makes a batch of a sender that is no process, or in the name of one. */
export function createBatch(messages: readonly unknown[], address = "127.0.0.1:9"): unknown {
    return { sender: { address, incarnation: "r" }, role: "agent", configurationVersion: 1, messages };
}

/** A start whose payload is nested deeper than recursive code can walk. */
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

/** Makes a frame that no correct process sends; the names are those of the feature. */
export function createFrame(name: string): string | Buffer {
    const frames: Readonly<Record<string, string | Buffer>> = {
        "no JSON": "{",
        "binary": Buffer.from([1, 2, 3]),
        "batch without sender": createCall({ role: "agent", configurationVersion: 1, messages: [] }),
        "unknown message type": createCall(createBatch([{ type: "shutDown" }])),
        "text for a number": createCall(createBatch([{ type: "declineOffer", slots: "1" }])),
        "a fraction for a count": createCall(createBatch([{ type: "declineOffer", slots: 0.5 }])),
        "deeply nested payload": createDeepCall(),
        "unknown procedure": JSON.stringify({ id: 1, method: "query", params: { path: "nothing" } }),
        "no id": JSON.stringify({ method: "mutation", params: { path: "deliver", input: {} } }),
        "a JSON list": "[1, 2]",
        "a JSON null": "null",
    };
    const frame = frames[name];
    assert.ok(frame !== undefined, `no frame is named ${name}`);
    return frame;
}

import { Then, When } from "@cucumber/cucumber";
import { ManualClock } from "@lovagepitch/utils/clock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { EntryCore } from "../entry/entryCore.js";
import { isForwardingFrame, isForwardingReply } from "../links/forwardingGuards.js";
import { isAgentFrame, isCapacityRequest, isEntryFrame } from "../links/frameGuards.js";
import { isOwnershipMessage } from "../links/ownershipGuards.js";
import type { ForwardingReply } from "../model/forwarding.js";
import { receiveInputs } from "../model/receiveInputs.js";
import { createEntryPolicies } from "../policies/entryPolicies.js";
import { AgentDriver, createOrder, createRegistration, entryAddress } from "./agentDriver.js";
import { ConnectedEntry, createJob } from "./connectedEntry.js";
import { FixedForwarding } from "./fixedForwarding.js";

type Message = Readonly<Record<string, unknown>>;

const { capacity } = createRegistration("life-1");

const otherEntry = { address: "10.1.0.3:7720", incarnation: "entry-3" };

const releaseFields = { job: "a1", owner: "entry-1", ownerSubmission: 7, asker: "entry-3", askerSubmission: 2 };
const configuration = {
    version: 2,
    configuration: {
        version: 2,
        routes: [{
            name: "route-a",
            host: "host-a",
            pathPrefix: "/",
            service: "drives",
            priority: 0,
            maximumAttempts: 3,
            stretch: 1.6,
            allowanceMilliseconds: 60,
        }],
        callerLimits: {
            maximumHeaderBytes: 8192,
            maximumBodyBytes: 65_536,
            headerTimeoutMilliseconds: 1000,
            idleTimeoutMilliseconds: 1000,
        },
    },
};

/** A valid message of each kind, with every array filled. */
const messages: Readonly<Record<string, Message>> = {
    "agent frame": {
        agent: "agent-1",
        instance: "side-1",
        availabilityZone: "zone-1",
        sentAt: 1_000_000,
        includedSequence: 1,
        worker: {
            service: "drives",
            labels: ["a"],
            capacity,
            free: capacity,
            awaited: capacity,
            acceptsTasks: true,
            isOnTrial: false,
        },
        ended: [{ job: "a1", task: 0, run: 1, end: "succeeded", ranMilliseconds: 80 }],
        openRuns: [{ job: "a2", task: 0, run: 1 }],
        configuration,
        evacuations: { revision: 7, zones: ["zone-3"] },
    },
    "entry frame": {
        entry: "entry-1",
        sequence: 2,
        newestSentAt: 1_000_000,
        starts: [createOrder("a3")],
        stops: [{ job: "a2", task: 0, run: 1 }],
        entryAddresses: ["10.1.0.2:7720"],
        entryZones: ["zone-1"],
        awaitsCapacity: true,
        invitations: [{ address: "10.1.0.3:7720", availabilityZone: "zone-2" }],
        configuration,
        evacuations: { revision: 7, zones: ["zone-3"] },
    },
    "capacity request": {
        from: { address: "10.1.0.3:7720", availabilityZone: "zone-2" },
        service: "drives",
        needs: capacity,
        requiredLabel: "a",
        agents: 2,
    },
    "forwarding frame": {
        kind: "forwarding",
        from: otherEntry,
        newestSentAt: 999_990,
        heldMilliseconds: 5,
        configurationVersion: 0,
        submissions: [{ number: 7, ageMilliseconds: 4, job: createJob("a4", { requiredLabel: "a" }) }],
        withdrawals: [{ number: 6, job: "a5", isInterrupted: false }],
        cancellations: [{ job: "a6", route: "route-a" }],
    },
    "forwarding reply": {
        kind: "forwarding-reply",
        from: otherEntry,
        sentAt: 1_000_000,
        load: 0.4,
        acceptsSubmissions: true,
        configurationVersion: 0,
        answers: [
            { number: 1, job: "a7", answer: { kind: "refused", reason: "no-worker", retryAfterSeconds: 1 } },
            { number: 2, job: "a8", answer: { kind: "interrupted", reason: "it stops" } },
            { number: 3, job: "a9" },
        ],
    },
    "open jobs": { kind: "open-jobs", from: otherEntry, jobs: [["a1", 1, 1000], ["a3", 2, 1100]] },
    "release request": { kind: "release-job", from: otherEntry, ...releaseFields },
    "release notice": {
        kind: "job-released",
        from: otherEntry,
        ...releaseFields,
        mayHaveStarted: true,
        owners: [{ ...otherEntry, submission: 3 }],
    },
};

let processed: readonly number[] = [];
let loggedLines = 0;

function getMessage(kind: string): Message {
    const message = messages[kind];
    assert.ok(message);
    return message;
}

/** Lists the paths of all fields and elements of a JSON value. */
function listPaths(value: unknown, path: readonly string[] = []): readonly (readonly string[])[] {
    return typeof value === "object" && value !== null
        ? Object.entries(value).flatMap(([name, field]) => [[...path, name], ...listPaths(field, [...path, name])])
        : [];
}

function replaceAt(value: unknown, [name, ...rest]: readonly string[], replacement: unknown): unknown {
    if (name === undefined) {
        return replacement;
    }
    const fields = value as Readonly<Record<string, unknown>>;
    const replaced = replaceAt(fields[name], rest, replacement);
    return Array.isArray(value)
        ? value.map((element, index) => String(index) === name ? replaced : element as unknown)
        : { ...fields, [name]: replaced };
}

/** Passes a message to the process that would receive it, as a connection does; returns false when it is refused. */
function receiveMessage(kind: string, message: unknown): boolean {
    const clock = new ManualClock(1_000_000);
    const entry = new EntryCore(
        { incarnation: "entry-1", instance: "front-1", availabilityZone: "zone-1", address: entryAddress },
        clock,
        new RandomSource(1),
    );
    const agent = new AgentDriver(false);
    agent.prepare("life-1");
    // JSON drops undefined fields and turns numbers that are not finite into null.
    const received: unknown = JSON.parse(JSON.stringify(message));
    switch (kind) {
        case "agent frame":
            if (!isAgentFrame(received)) {
                return false;
            }
            entry.accept({ kind: "frame", connection: 1, frame: received });
            assertNothingDropped(entry.tick());
            return true;
        case "entry frame":
            if (!isEntryFrame(received)) {
                return false;
            }
            agent.accept({ kind: "frame", address: entryAddress, frame: received });
            agent.advance(400);
            assertNothingDropped(agent.outputs);
            return true;
        case "open jobs":
        case "release request":
        case "release notice":
            if (!isOwnershipMessage(received)) {
                return false;
            }
            entry.accept({ kind: "ownership", message: received });
            assertNothingDropped(entry.tick());
            return true;
        case "forwarding frame":
            if (!isForwardingFrame(received)) {
                return false;
            }
            entry.accept({ kind: "forwarding-frame", connection: 1, frame: received });
            assertNothingDropped(entry.tick());
            return true;
        case "forwarding reply":
            if (!isForwardingReply(received)) {
                return false;
            }
            receiveReply(received);
            return true;
        default:
            if (!isCapacityRequest(received)) {
                return false;
            }
            entry.accept({ kind: "capacity-requested", request: received });
            assertNothingDropped(entry.tick());
            return true;
    }
}

/** Passes a reply to an entry that has passed a job on, whose submission the last answer of the reply declines. */
function receiveReply(reply: ForwardingReply): void {
    const policies = { ...createEntryPolicies(), jobForwarding: new FixedForwarding(1) };
    const entry = new ConnectedEntry("entry-1", policies);
    entry.accept({ kind: "entries-found", entries: [{ address: otherEntry.address, availabilityZone: "zone-2" }] });
    entry.accept({ kind: "forwarding-reply", address: otherEntry.address, reply });
    entry.submit(createJob("a9"));
    entry.accept({ kind: "forwarding-reply", address: otherEntry.address, reply });
    entry.advance(100);
    assertNothingDropped(entry.outputs);
}

function assertNothingDropped(outputs: readonly { readonly kind: string }[]): void {
    const dropped = outputs.filter(output => JSON.stringify(output).includes("input dropped"));
    assert.deepEqual(dropped, []);
}

Then(/^no (.+) with one field removed or replaced by any JSON value throws an error$/, (kind: string) => {
    const message = getMessage(kind);
    assert.equal(receiveMessage(kind, message), true, "the unchanged message is refused");
    const replacements = fastCheck.oneof(fastCheck.constant(undefined), fastCheck.jsonValue());
    fastCheck.assert(
        fastCheck.property(fastCheck.constantFrom(...listPaths(message)), replacements, (path, replacement) => {
            receiveMessage(kind, replaceAt(message, path, replacement));
        }),
        { numRuns: 500, seed: 1 },
    );
});

Then(/^the (.+) changed by (\{.+\}) is refused$/, (kind: string, change: string) => {
    assert.equal(receiveMessage(kind, { ...getMessage(kind), ...JSON.parse(change) as Message }), false);
});

When("a core receives 3 inputs of which the second one fails", () => {
    const received: number[] = [];
    loggedLines = 0;
    receiveInputs(
        [1, 2, 3].map(value => ({ kind: "test", value })),
        ({ value }) => {
            if (value === 2) {
                throw new Error("a defect");
            }
            received.push(value);
        },
        () => {
            loggedLines += 1;
        },
    );
    processed = received;
});

Then("the first and the third one were processed, and one line was logged", () => {
    assert.deepEqual(processed, [1, 3]);
    assert.equal(loggedLines, 1);
});

Then("no agent frame with a send time of NaN and no entry frame with a sequence number of Infinity is accepted", () => {
    assert.ok(isAgentFrame(getMessage("agent frame")) && isEntryFrame(getMessage("entry frame")));
    assert.equal(isAgentFrame({ ...getMessage("agent frame"), sentAt: Number.NaN }), false);
    assert.equal(isEntryFrame({ ...getMessage("entry frame"), sequence: Number.POSITIVE_INFINITY }), false);
});

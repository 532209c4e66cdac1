import { Given, Then, When } from "@cucumber/cucumber";
import { ManualClock } from "@lovagepitch/utils/clock";
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { AgentCore } from "../agent/agentCore.js";
import type { AgentInput, AgentOutput } from "../agent/agentPorts.js";
import type { EntryInput } from "../entry/entryPorts.js";
import type { DispatchConfiguration } from "../model/dispatchConfiguration.js";
import { createOrder, createReport, entryAddress } from "./agentDriver.js";
import { ConnectedEntry } from "./connectedEntry.js";

const worker = "life-1";

/** Worker's clock at the start of the agent, in milliseconds. */
const firstWorkerClock = 50_000;

/** Order of the messages, chosen by fast-check. */
interface Message {
    readonly number: number;
    readonly source: "store" | "agent-1" | "agent-2";
}

let clock = new ManualClock(0);
let agent = createAgent(1500);
let outputs: AgentOutput[] = [];

function createAgent(reportIntervalMilliseconds: number): AgentCore {
    const identity = { incarnation: "agent-1", instance: "side-1", availabilityZone: "zone-1" };
    return new AgentCore(identity, clock, reportIntervalMilliseconds);
}

function accept(input: AgentInput): void {
    agent.accept(input);
    outputs.push(...agent.tick());
}

function report(ageMilliseconds: number, sequence: number, isDraining: boolean): void {
    const workerClock = firstWorkerClock + clock.nowMilliseconds() - ageMilliseconds;
    accept({
        kind: "worker-reported",
        report: { ...createReport(worker), startedAt: 1000, workerClock, sequence, isDraining },
    });
}

function answerView(): void {
    const call = outputs.flatMap(output => output.kind === "view" ? [output.call] : []).at(-1);
    assert.ok(call !== undefined);
    const workerClock = firstWorkerClock + clock.nowMilliseconds();
    accept({ kind: "view", call, view: { workerClock, startedAt: 1000, running: [], ended: [] } });
}

Given("a restarted agent whose worker reports every {int} ms", (milliseconds: number) => {
    clock = new ManualClock(0);
    agent = createAgent(milliseconds);
    outputs = [];
});

When("a report of the ready worker arrives that is {int} ms old, and the worker answers", (age: number) => {
    report(age, 3, false);
    answerView();
});

When("the worker reports that it drains, and an earlier report arrives after that", () => {
    report(100, 4, true);
    answerView();
    report(300, 3, false);
    clock.advanceTo(20);
    outputs.push(...agent.tick());
});

Then(/^the restarted agent starts (a|no) task$/, (expected: string) => {
    accept({ kind: "entries-found", entries: [{ address: entryAddress, availabilityZone: "zone-1" }] });
    accept({ kind: "connected", address: entryAddress });
    const frame = {
        entry: "entry-1",
        sequence: 1,
        newestSentAt: clock.nowMilliseconds(),
        starts: [createOrder("b1")],
        stops: [],
        entryAddresses: [],
        configuration: { version: 0, configuration: undefined },
    };
    accept({ kind: "frame", address: entryAddress, frame });
    assert.equal(outputs.some(output => output.kind === "start"), expected === "a");
});

function createConfiguration(version: number): DispatchConfiguration {
    const callerLimits = {
        maximumHeaderBytes: 8192,
        maximumBodyBytes: 65_536,
        headerTimeoutMilliseconds: 1000,
        idleTimeoutMilliseconds: 1000,
    };
    return { version, routes: [], callerLimits };
}

/** Passes messages to a new entry, and returns the values of a field of its log lines of one event. */
function listInForce(
    messages: readonly Message[],
    send: (entry: ConnectedEntry, message: Message) => void,
    event: string,
    field: string,
): readonly unknown[] {
    const entry = new ConnectedEntry();
    entry.connect("agent-1");
    entry.connect("agent-2");
    messages.forEach(message => send(entry, message));
    return entry.outputs.flatMap(output => {
        return output.kind === "log" && output.event === event ? [output.fields[field]] : [];
    });
}

function checkOrders(
    send: (entry: ConnectedEntry, message: Message) => void,
    event: string,
    field: string,
): void {
    const messages = fastCheck.array(
        fastCheck.record({
            number: fastCheck.integer({ min: 1, max: 9 }),
            source: fastCheck.constantFrom<Message["source"]>("store", "agent-1", "agent-2"),
        }),
        { minLength: 12, maxLength: 12 },
    );
    fastCheck.assert(
        fastCheck.property(messages, order => {
            const highest = order.map(({ number }, index) => {
                return Math.max(number, ...order.slice(0, index).map(earlier => earlier.number));
            });
            assert.deepEqual(listInForce(order, send, event, field), [...new Set(highest)]);
        }),
        { numRuns: 200, seed: 11 },
    );
}

Then(
    "any order of 12 versions from the store and from agents leaves the newest one in force, and none comes back",
    () => {
        checkOrders(
            (entry, { number, source }) => {
                const configuration = createConfiguration(number);
                const input: EntryInput = { kind: "configured", configuration, source: "store" };
                if (source === "store") {
                    entry.accept(input);
                }
                else {
                    entry.report(source, { configuration: { version: number, configuration } });
                }
            },
            "configuration in force",
            "version",
        );
    },
);

Then(
    "any order of 12 states of evacuated zones from the store and from agents leaves the newest one in force",
    () => {
        checkOrders(
            (entry, { number, source }) => {
                const evacuations = { revision: number, zones: [`zone-${number}`] };
                if (source === "store") {
                    entry.accept({ kind: "evacuations-read", evacuations });
                }
                else {
                    entry.report(source, { evacuations });
                }
            },
            "evacuation of a zone begins",
            "revision",
        );
    },
);

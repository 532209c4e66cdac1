import { Given, Then, When } from "@cucumber/cucumber";
import type { TaskReportState } from "@lovagepitch/types/peerMessage";
import assert from "node:assert/strict";
import type { TaskOutcome } from "../core/agentInput.js";
import { AgentHarness, createManifest } from "./agentHarness.js";

let agent = new AgentHarness();
let outputsBeforeMark = 0;

function parseIndexes(text: string): readonly number[] {
    return text.split(",").map(Number);
}

function describeReport(state: TaskReportState | undefined): string {
    if (state === undefined) {
        return "nothing";
    }
    return state.state === "refused" ? `refused ${state.refusal}` : state.state;
}

function createOutcome(text: string): TaskOutcome {
    switch (text) {
        case "succeeded":
            return { kind: "succeeded", output: { watered: true } };
        case "failed":
            return { kind: "failed", reason: "status 500" };
        default:
            return { kind: "not-delivered", reason: "connection refused" };
    }
}

function listMessagesSinceMark(entry: string): readonly string[] {
    const earlier = agent.outputs.slice(0, outputsBeforeMark).filter(output => output.type === "send").length;
    return agent.listSent().slice(earlier)
        .filter(sent => agent.listSentTo(entry).includes(sent.message))
        .map(sent => sent.message.type);
}

Given("an agent with {int} slot(s) and {int} queue place(s)", (slots: number, standByLimit: number) => {
    agent = new AgentHarness({ standByLimit });
    agent.startServing(slots);
});

Given(
    "an agent with {int} slot(s), {int} queue place(s) and a prefetch limit of {int}",
    (slots: number, standByLimit: number, prefetchLimit: number) => {
        agent = new AgentHarness({ standByLimit, prefetchLimit });
        agent.startServing(slots);
    },
);

Given("an agent with {int} slot(s) and a ledger limit of {int} bytes", (slots: number, maximumLedgerBytes: number) => {
    agent = new AgentHarness({ maximumLedgerBytes });
    agent.startServing(slots);
});

Given("an agent that has not registered", () => {
    agent = new AgentHarness();
    agent.accept({ type: "manifestAccepted", manifest: createManifest(1, ["kolonnawa"]) });
    agent.announceBackendServer();
});

Given("an agent without a backend server", () => {
    agent = new AgentHarness();
    agent.accept({ type: "manifestAccepted", manifest: createManifest(1, ["kolonnawa"]) });
    agent.accept({ type: "registered", number: 1 });
});

Given("an agent without a manifest", () => {
    agent = new AgentHarness({ standByLimit: 1 });
    agent.announceBackendServer();
    agent.accept({ type: "registered", number: 1 });
});

Given("submission ids at the agent have registry version {int}", (version: number) => {
    agent.registryVersion = version;
});

Given("entries report configuration version {int} to the agent", (version: number) => {
    agent.configurationVersion = version;
});

When("entry {word} starts task(s) {string} of {word} at the agent", (entry: string, indexes: string, name: string) => {
    agent.startTasks(entry, name, parseIndexes(indexes));
});

When("entry {word} starts task {int} of {word} with a bid for {int} more", function(
    entry: string,
    index: number,
    name: string,
    waitingTasks: number,
) {
    const bid = { type: "placeBid", service: "alerts", oldestArrivalMilliseconds: 5, waitingTasks } as const;
    agent.send(entry, agent.createStart(entry, name, [index]), bid);
});

When("entry {word} starts a task of {word} of kind {string}", (entry: string, name: string, kind: string) => {
    agent.startTasks(entry, name, [0], { kind });
});

When("entry {word} starts a task of {word} of service {string}", (entry: string, name: string, service: string) => {
    agent.startTasks(entry, name, [0], { service });
});

When("entry {word} starts a task of {word} due in {int} ms", (entry: string, name: string, milliseconds: number) => {
    const deadlineAtMilliseconds = agent.clock.nowMilliseconds() + milliseconds;
    agent.startTasks(entry, name, [0], { deadlineAtMilliseconds });
});

When("entry {word} starts a task of {word} at another incarnation", (entry: string, name: string) => {
    agent.startTasks(entry, name, [0], { agent: "other" });
});

When("entry {word} starts a task of {word} with a forged id", (entry: string, name: string) => {
    agent.startTasks(entry, name, [0], { submission: `${agent.encodeId(name).slice(0, -1)}!` });
});

When("the last start arrives at the agent again", () => {
    assert.ok(agent.lastStart);
    agent.send(agent.lastStart.entry, agent.lastStart.message);
});

When(
    "start 2 of task {int} of {word} overtakes start 1 of task {int} of {word}",
    (second: number, secondName: string, first: number, firstName: string) => {
        const late = agent.createStart("A", firstName, [first]);
        agent.send("A", agent.createStart("A", secondName, [second]));
        agent.send("A", late);
    },
);

When("the recall of task {int} of {word} overtakes its start", (index: number, name: string) => {
    const start = agent.createStart("A", name, [index]);
    const startSequence = agent.takeStartSequence("A");
    agent.send("A", {
        type: "recallTasks",
        submission: agent.encodeId(name),
        startSequence,
        indexes: [index],
    });
    agent.send("A", start);
});

When("entry {word} recalls task {int} of {word}", (entry: string, index: number, name: string) => {
    const startSequence = agent.takeStartSequence(entry);
    agent.send(entry, { type: "recallTasks", submission: agent.encodeId(name), startSequence, indexes: [index] });
});

When("entry {word} queries task {int} of {word}", (entry: string, index: number, name: string) => {
    agent.send(entry, { type: "queryTasks", submission: agent.encodeId(name), indexes: [index] });
});

When("entry {word} seals {word} at the agent", (entry: string, name: string) => {
    agent.send(entry, { type: "sealSubmissions", submissions: [agent.encodeId(name)] });
});

When("entry {word} acknowledges task {int} of {word}", (entry: string, index: number, name: string) => {
    agent.send(entry, {
        type: "acknowledgeOutcomes",
        submission: agent.encodeId(name),
        indexes: [index],
        declinedSlots: 0,
    });
});

When(
    "entry {word} bids for {int} task(s) waiting since {int}",
    (entry: string, waitingTasks: number, since: number) => {
        agent.send(entry, { type: "placeBid", service: "alerts", oldestArrivalMilliseconds: since, waitingTasks });
    },
);

When("entry {word} declines {int} slot(s)", (entry: string, slots: number) => {
    agent.send(entry, { type: "declineOffer", slots });
});

When("entry {word} answers the agent's ping", (entry: string) => {
    agent.send(entry, { type: "pong" });
});

When("entry {word} pings the agent", (entry: string) => {
    agent.send(entry, { type: "ping" });
});

When("entry {word} becomes unreachable for the agent", (entry: string) => {
    agent.accept({ type: "peerUnreachable", address: agent.identifyEntry(entry).address });
});

When("entry {word} is replaced by a new incarnation that pings the agent", (entry: string) => {
    agent.restartEntry(entry);
    agent.send(entry, { type: "ping" });
});

When("a start of {word} arrives at the agent after its owner was replaced", (name: string) => {
    const entry = name.slice(0, 1);
    const late = agent.createBatch(entry, [agent.createStart(entry, name, [0])]);
    agent.send(entry, { type: "ping" });
    agent.restartEntry(entry);
    agent.send(entry, { type: "ping" });
    agent.accept(late);
});

When("the agent reads entries {string} from the registry", (names: string) => {
    const entries = names.split(",").map(name => ({
        ...agent.identifyEntry(name),
        availabilityZone: "kolonnawa",
        state: "serving" as const,
        renewedAtMilliseconds: 0,
    }));
    agent.accept({ type: "entriesRead", entries });
});

When("task {int} of {word} ends as {string}", (index: number, name: string, outcome: string) => {
    agent.endTask(name, index, createOutcome(outcome));
});

When("a task of each of {string} fails", (names: string) => {
    for (const name of names.split(",")) {
        agent.startTasks(name.slice(0, 1), name, [0]);
        agent.endTask(name, 0, createOutcome("failed"));
    }
});

When("tasks {string} of {word} fail one by one", (indexes: string, name: string) => {
    for (const index of parseIndexes(indexes)) {
        agent.startTasks(name.slice(0, 1), name, [index]);
        agent.endTask(name, index, createOutcome("failed"));
    }
});

When("the agent accepts manifest version {int} for {string}", (version: number, zones: string) => {
    agent.accept({ type: "manifestAccepted", manifest: createManifest(version, zones.split(",")) });
});

When("entry {word} sends manifest version {int} for {string}", (entry: string, version: number, zones: string) => {
    agent.send(entry, { type: "sendManifest", manifest: createManifest(version, zones.split(",")) });
});

When("the backend server leaves the agent", () => {
    agent.accept({ type: "backendLeaving" });
});

When("the backend server announces itself to the agent", () => {
    agent.announceBackendServer();
});

When("the backend server announces services {string} to the agent", (services: string) => {
    agent.announceBackendServer(services.split(","));
});

When("the agent is registered with number {int}", (number: number) => {
    agent.accept({ type: "registered", number });
});

When("the registration fails at the agent", () => {
    agent.accept({ type: "registrationFailed" });
});

When("the agent is stopped", () => {
    agent.accept({ type: "stop" });
});

When("{int} ms pass at the agent", (milliseconds: number) => {
    agent.advanceClock(milliseconds);
});

When("{int} ms pass at the agent with heartbeats", (milliseconds: number) => {
    const heartbeatMilliseconds = 1_000;
    for (let passed = 0; passed < milliseconds; passed += heartbeatMilliseconds) {
        agent.advanceClock(Math.min(heartbeatMilliseconds, milliseconds - passed));
        agent.announceBackendServer();
    }
});

When("the agent's messages are counted from here", () => {
    outputsBeforeMark = agent.outputs.length;
});

Then("the agent has dispatched {string}", (expected: string) => {
    assert.deepEqual(agent.listDispatchedTasks().join(" "), expected);
});

Then(
    "the agent's last report to entry {word} is {string} for task {int} of {word}",
    (entry: string, expected: string, index: number, name: string) => {
        assert.equal(describeReport(agent.listReportsTo(entry, name, index).at(-1)), expected);
    },
);

Then(
    "the agent sent entry {word} the outcome of task {int} of {word} {int} time(s)",
    (entry: string, index: number, name: string, expected: number) => {
        const outcomes = agent.listReportsTo(entry, name, index).filter(report => report.state === "succeeded");
        assert.equal(outcomes.length, expected);
    },
);

Then("the agent sent entry {word} {string} since then", (entry: string, expected: string) => {
    assert.equal(listMessagesSinceMark(entry).join(" "), expected);
});

Then("the agent sent entry {word} no report since then", (entry: string) => {
    assert.deepEqual(listMessagesSinceMark(entry).filter(type => type === "reportTasks"), []);
});

Then("the last refusal to entry {word} applies up to start sequence {int}", (entry: string, expected: number) => {
    const refusals = agent.listSentTo(entry)
        .flatMap(message => message.type === "reportTasks" ? message.reports : [])
        .flatMap(report => report.report.state === "refused" ? [report.report.startSequence] : []);
    assert.equal(refusals.at(-1), expected);
});

Then(
    "the agent's last seal report of {word} to entry {word} is {string}",
    (name: string, entry: string, expected: string) => {
        const submission = agent.encodeId(name);
        const last = agent.listSentTo(entry)
            .flatMap(message => message.type === "reportSeal" && message.submission === submission ? [message] : [])
            .at(-1);
        assert.ok(last);
        const reports = last.reports.map(report => `${report.index} ${describeReport(report.report)}`);
        assert.equal([...reports, ...last.incomplete ? ["incomplete"] : []].join(", "), expected);
    },
);

Then("the agent has offered {int} slot(s) to entry {word}", (expected: number, entry: string) => {
    let offered = 0;
    for (const message of agent.listSentTo(entry)) {
        offered += message.type === "offerSlots" ? message.slots : 0;
        offered += message.type === "reportTasks" ? message.offeredSlots : 0;
    }
    assert.equal(offered, expected);
});

Then("the agent has sent {int} separate offer(s)", (expected: number) => {
    assert.equal(agent.listSent().filter(sent => sent.message.type === "offerSlots").length, expected);
});

Then("the agent {word} suspect", (verb: string) => {
    assert.equal(agent.core.getStatus().suspect, verb === "is");
});

Then("the agent's last announcement to entry {word} reports leaving", (entry: string) => {
    const last = agent.listSentTo(entry).flatMap(message => message.type === "announceAgent" ? [message] : []).at(-1);
    assert.equal(last?.load.leaving, true);
});

Then("the agent has sent {int} announcement(s) to entry {word}", (expected: number, entry: string) => {
    assert.equal(agent.listSentTo(entry).filter(message => message.type === "announceAgent").length, expected);
});

Then("the agent has requested its registration {int} time(s)", (expected: number) => {
    assert.equal(agent.outputs.filter(output => output.type === "register").length, expected);
});

Then("the agent has requested a read of the manifest {int} time(s)", (expected: number) => {
    assert.equal(agent.outputs.filter(output => output.type === "readManifest").length, expected);
});

Then("the agent has requested the manifest of entry {word} {int} time(s)", (entry: string, expected: number) => {
    assert.equal(agent.listSentTo(entry).filter(message => message.type === "requestManifest").length, expected);
});

Then("the agent's configuration version is {int}", (expected: number) => {
    assert.equal(agent.core.getStatus().configurationVersion, expected);
});

Then("the agent {word} drained", (verb: string) => {
    assert.equal(agent.core.isDrained(), verb === "is");
});

Then("the agent has requested {int} time(s) to mark its row as left", (expected: number) => {
    assert.equal(agent.outputs.filter(output => output.type === "deregister").length, expected);
});

Then("the agent's handover lists {string}", (expected: string) => {
    const listed = agent.core.createLedgerHandover().submissions.flatMap(row =>
        row.reports.map(report => `${report.index} ${describeReport(report.report)}`)
    );
    assert.equal(listed.join(", "), expected);
});

Then("the agent's ledger holds {int} submission(s)", (expected: number) => {
    assert.equal(agent.core.getStatus().ledgerSubmissions, expected);
});

Then("the agent's handover has low-water mark {int} of entry {word}", (expected: number, entry: string) => {
    const marks = agent.core.createLedgerHandover().lowWaterMarks;
    assert.equal(marks[agent.identifyEntry(entry).incarnation], expected);
});

Then("the agent's logged decisions are {string} without payloads", (expected: string) => {
    const decisions = agent.listDecisions();
    assert.equal(decisions.map(decision => decision.decision).join(" "), expected);
    assert.ok(!JSON.stringify(decisions).includes("watered"));
});

Then("the agent requests no tick", () => {
    assert.equal(agent.core.nextWakeAtMilliseconds(), undefined);
});

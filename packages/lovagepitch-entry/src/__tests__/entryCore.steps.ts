import { Given, Then, When } from "@cucumber/cucumber";
import type { PeerIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { StartTasks } from "@lovagepitch/types/peerMessage";
import assert from "node:assert/strict";
import { ScriptedEntry } from "./scriptedEntry.js";

let entry = new ScriptedEntry();
let requests: number[] = [];
let submission: SubmissionKey = "";
let submissions: SubmissionKey[] = [];
let tasks = 0;
let starts: StartTasks[] = [];
let destinations: string[] = [];
let registeredAgents = 0;

function createAgent(name: string): PeerIdentity {
    return { address: `10.2.0.${name.slice(1)}:7000`, incarnation: name };
}

function resetEntry(): void {
    entry = new ScriptedEntry();
    requests = [];
    submissions = [];
    starts = [];
    destinations = [];
    registeredAgents = 0;
}

function announceAgent(name: string): void {
    registeredAgents += 1;
    entry.announce(createAgent(name), registeredAgents);
}

function submit(count: number, id?: SubmissionKey): void {
    const submitted = entry.submit(count, id);
    requests.push(submitted.request);
    ({ submission } = submitted);
    submissions.push(submission);
    tasks = count;
    recordStarts();
}

function recordStarts(): void {
    for (const { destination, message } of entry.takeStarts()) {
        starts.push(message);
        destinations.push(destination);
    }
}

Given("a scripted entry with agent {string}", (name: string) => {
    resetEntry();
    announceAgent(name);
});

Given("a scripted entry without agents", resetEntry);

Given("a submitted job of {int} task(s)", (count: number) => submit(count));

Given("a submitted job of 1 task that agent {string} runs to success", (name: string) => {
    submit(1);
    entry.report(createAgent(name), starts[0]!, { state: "succeeded", output: "done" });
});

When("agent {string} becomes known", announceAgent);

When("the scripted job is submitted again", () => submit(tasks, submission));

When("the start is resent because the agent has not replied", () => {
    entry.advance(450);
    recordStarts();
    assert.ok(starts.length >= 2, "the start was resent");
});

When("agent {string} refuses only the first start", (name: string) => {
    const { startSequence } = starts[0]!;
    starts = starts.slice(-1);
    entry.report(createAgent(name), starts[0]!, { state: "refused", refusal: "busy", startSequence });
    recordStarts();
});

When("agent {string} refuses the latest start", (name: string) => {
    const { startSequence } = starts.at(-1)!;
    entry.report(createAgent(name), starts.at(-1)!, { state: "refused", refusal: "busy", startSequence });
    recordStarts();
});

When("{int} ms pass without a message from agent {string}", (milliseconds: number, name: string) => {
    assert.ok(destinations.includes(createAgent(name).address));
    entry.advance(milliseconds);
    recordStarts();
});

When(
    "a job is submitted under an id of an unavailable entry that expires in {int} ms",
    (lifetimeMilliseconds: number) => {
        const registration = {
            ...createAgent("a1"),
            worker: "a1",
            rack: "rack",
            availabilityZone: "lekki",
            cores: 16,
            memoryMegabytes: 32_768,
            number: 1,
            state: "serving" as const,
            renewedAtMilliseconds: entry.clock.nowMilliseconds(),
        };
        const registry = { version: 1, agents: [registration], entries: [] };
        entry.accept({ type: "registryRead", registry });
        submit(1, entry.createForeignSubmission(lifetimeMilliseconds));
        entry.advance(800);
        entry.accept({ type: "handoverRead", incarnation: "e2", outcome: { kind: "absent" } });
    },
);

When("agent {string} reports that it started no task of the job", (name: string) => {
    entry.receive(createAgent(name), { type: "reportSeal", submission, reports: [], incomplete: false });
});

When("agent {string} fails every task and 100 jobs per second arrive for 20 s", (name: string) => {
    const failing = createAgent(name);
    for (let job = 0; job < 2_000; job += 1) {
        entry.submit(1);
        for (const { destination, message } of entry.takeStarts()) {
            destinations.push(destination);
            if (destination === failing.address) {
                entry.report(failing, message, { state: "failed", reason: "broken" }, { suspect: true });
            }
            else {
                // The failing agent always reports more free slots than the other one.
                entry.report(createAgent("a2"), message, { state: "succeeded", output: 1 }, { runningTasks: 4 });
            }
        }
        entry.advance(10);
    }
});

When(
    "agent {string} finishes {int} tasks every {int} ms for 2 s",
    (name: string, count: number, intervalMilliseconds: number) => {
        const agent = createAgent(name);
        const sent = starts.flatMap(start => start.tasks.map(task => ({ ...start, tasks: [task] })));
        for (let elapsedMilliseconds = 0; elapsedMilliseconds < 2_000; elapsedMilliseconds += intervalMilliseconds) {
            entry.advance(intervalMilliseconds);
            for (const { message } of entry.takeStarts()) {
                sent.push(...message.tasks.map(task => ({ ...message, tasks: [task] })));
            }
            for (const start of sent.splice(0, count)) {
                entry.report(agent, start, { state: "succeeded", output: 1 });
            }
        }
    },
);

When("a job of {int} tasks is submitted under a new id", (count: number) => submit(count));

Then(
    "the scripted refusal {string} asks for a retry after {int} to {int} ms",
    (kind: string, minimumMilliseconds: number, maximumMilliseconds: number) => {
        const response = entry.responses.get(requests.at(-1)!);
        assert.ok(response?.kind === "problem", JSON.stringify(response));
        assert.equal(response.problem.kind, kind);
        const retry = response.problem.retryAfterMilliseconds ?? 0;
        assert.ok(retry >= minimumMilliseconds && retry <= maximumMilliseconds, `${retry} ms`);
    },
);

Then("both scripted answers are complete and carry different next submission ids", () => {
    const answers = requests.map(request => entry.responses.get(request));
    const next = answers.map(response => {
        assert.ok(response?.kind === "answer" && response.answer.state === "complete");
        return response.answer.nextSubmission;
    });
    assert.equal(new Set(next).size, 2);
});

Then("no further start of the scripted task is sent", () => assert.equal(starts.length, 1));

Then("one further start of the scripted task is sent", () => assert.equal(starts.length, 2));

Then("the scripted answer is a problem with execution {string}", (execution: string) => {
    const response = entry.responses.get(requests.at(-1)!);
    assert.ok(response?.kind === "problem", JSON.stringify(response));
    assert.equal(response.problem.execution, execution);
    assert.notEqual(response.problem.nextSubmission, undefined);
});

Then("no task of the scripted job was started", () => assert.equal(starts.length, 0));

Then("the scripted answer is failed and its task may have run", () => {
    const response = entry.responses.get(requests.at(-1)!);
    assert.ok(response?.kind === "answer");
    assert.equal(response.answer.state, "failed");
    assert.equal(response.answer.tasks[0]?.state, "may-have-run");
});

Then("no task of the scripted job was started at agent {string}", (name: string) => {
    assert.ok(!destinations.includes(createAgent(name).address));
});

When("agent {string} finishes the first scripted job", (name: string) => {
    const first = starts[0]!.submission;
    for (const start of starts.filter(other => other.submission === first)) {
        entry.report(createAgent(name), start, { state: "succeeded", output: 1 });
    }
    recordStarts();
});

When("agent {string} starts to leave", (name: string) => {
    entry.report(createAgent(name), starts[0]!, { state: "running" }, { slots: 0, leaving: true });
    recordStarts();
});

Then("{int} tasks of the scripted job were started at agent {string}", (count: number, name: string) => {
    const startedTasks = starts.flatMap((start, position) =>
        start.submission === submission && destinations[position] === createAgent(name).address ? start.tasks : []
    );
    assert.equal(startedTasks.length, count);
});

Then("the second scripted job was started at agent {string}", (name: string) => {
    const [, second] = submissions;
    const position = starts.findIndex(start => start.submission === second);
    assert.equal(destinations[position], createAgent(name).address);
});

Then("agent {string} receives at most {int} scripted starts", (name: string, maximumStarts: number) => {
    const receivedStarts = destinations.filter(destination => destination === createAgent(name).address).length;
    assert.ok(receivedStarts <= maximumStarts, `${receivedStarts} starts`);
});

/**
 * Random interleavings of an agent's inputs, and the invariants that must hold in all of them.
 */
import type { StartTasks } from "@lovagepitch/types/peerMessage";
import fc from "fast-check";
import assert from "node:assert/strict";
import type { AgentInput, TaskOutcome } from "../core/agentInput.js";
import type { AgentOutput } from "../core/agentOutput.js";
import { AgentHarness, agentIncarnation, createManifest } from "./agentHarness.js";

const owners = ["A", "B"];
const sealingEntry = "S";
const submissionsPerOwner = 3;
const tasksPerSubmission = 3;

/** One step of an interleaving. Numbers select an entry, a submission, a message or a task. */
export type Action =
    | { readonly kind: "start"; readonly owner: number; readonly submission: number; readonly first: number }
    | { readonly kind: "recall"; readonly owner: number; readonly submission: number; readonly index: number }
    | { readonly kind: "deliver"; readonly choice: number }
    | { readonly kind: "end"; readonly choice: number; readonly outcome: number }
    | { readonly kind: "seal"; readonly owner: number; readonly submission: number }
    | { readonly kind: "acknowledge"; readonly owner: number; readonly submission: number }
    | { readonly kind: "bid"; readonly owner: number; readonly waitingTasks: number }
    | { readonly kind: "manifest"; readonly permitted: boolean }
    | { readonly kind: "version"; readonly ahead: number }
    | { readonly kind: "advanceClock"; readonly milliseconds: number }
    | { readonly kind: "unreachable"; readonly owner: number }
    | { readonly kind: "announce" }
    | { readonly kind: "leave" }
    | { readonly kind: "register"; readonly number: number };

const owner = fc.nat({ max: owners.length - 1 });
const submission = fc.integer({ min: 1, max: submissionsPerOwner });
const index = fc.nat({ max: tasksPerSubmission - 1 });
const choice = fc.oneof({ weight: 4, arbitrary: fc.constant(0) }, { weight: 1, arbitrary: fc.nat({ max: 40 }) });

const mostlyTrue = fc.oneof({ weight: 4, arbitrary: fc.constant(true) }, { weight: 1, arbitrary: fc.constant(false) });

/** Actions in random order; starts and message deliveries are the most frequent. */
const actions: fc.Arbitrary<Action[]> = fc.array(
    fc.oneof(
        { weight: 8, arbitrary: fc.record({ kind: fc.constant("start" as const), owner, submission, first: index }) },
        { weight: 16, arbitrary: fc.record({ kind: fc.constant("deliver" as const), choice }) },
        { weight: 8, arbitrary: fc.record({ kind: fc.constant("end" as const), choice, outcome: fc.nat({ max: 2 }) }) },
        { weight: 2, arbitrary: fc.record({ kind: fc.constant("recall" as const), owner, submission, index }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("seal" as const), owner, submission }) },
        { weight: 3, arbitrary: fc.record({ kind: fc.constant("acknowledge" as const), owner, submission }) },
        {
            weight: 3,
            arbitrary: fc.record({ kind: fc.constant("bid" as const), owner, waitingTasks: fc.nat({ max: 3 }) }),
        },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("manifest" as const), permitted: mostlyTrue }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("version" as const), ahead: fc.nat({ max: 1 }) }) },
        {
            weight: 3,
            arbitrary: fc.record({
                kind: fc.constant("advanceClock" as const),
                milliseconds: fc.constantFrom(1, 20, 300, 1_500, 4_000, 61_000),
            }),
        },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("unreachable" as const), owner }) },
        { weight: 6, arbitrary: fc.record({ kind: fc.constant("announce" as const) }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("leave" as const) }) },
        {
            weight: 1,
            arbitrary: fc.record({ kind: fc.constant("register" as const), number: fc.constantFrom(1, 1, 2, 4, 5) }),
        },
    ),
    { minLength: 10, maxLength: 80 },
);

/** Generates runs: initial state, actions, and actions after a graceful shutdown began. */
export const runs = fc.record({
    isServing: mostlyTrue,
    actions,
    actionsAfterStop: fc.oneof({ weight: 3, arbitrary: fc.constant([]) }, { weight: 1, arbitrary: actions }),
});

/** One random run of an agent. */
export interface Run {
    readonly isServing: boolean;
    readonly actions: readonly Action[];
    readonly actionsAfterStop: readonly Action[];
}

/** Records the inputs and outputs of the agent and checks the invariants. */
class InvariantChecker {
    public isPermitted = true;
    public manifestVersion = 1;
    public registrationNumber = 0;
    public isBackendPresent = false;
    public isStopped = false;
    public readonly runningTasks = new Set<string>();
    public readonly endedTasks = new Set<string>();
    private readonly dispatchedTasks = new Set<string>();
    private readonly sealedSubmissions = new Set<string>();
    /** Highest start sequence that a refusal applies to, by task. */
    private readonly refusedUpToStart = new Map<string, number>();

    public constructor(private readonly agent: AgentHarness) {}

    public checkOutputs(outputs: readonly AgentOutput[]): void {
        for (const output of outputs) {
            if (output.type === "dispatch") {
                this.checkDispatch(output.task.submission, output.task.index, Number(output.task.payload));
            }
        }
        for (const output of outputs) {
            if (output.type === "send" && output.message.type === "reportTasks") {
                for (const { index: task, report } of output.message.reports) {
                    this.checkReport(`${output.message.submission}/${task}`, report);
                }
            }
            if (output.type === "send" && output.message.type === "reportSeal") {
                this.checkSealReport(output.message);
            }
        }
        const { slots, runningTasks } = this.agent.core.getStatus();
        assert.equal(runningTasks, this.runningTasks.size);
        assert.ok(slots === 0 || runningTasks <= this.agent.slots, "more tasks run than there are slots");
    }

    private checkDispatch(submissionKey: string, task: number, startSequence: number): void {
        const name = `${submissionKey}/${task}`;
        const identity = this.agent.codec.decode(submissionKey).unwrap();
        assert.ok(!this.dispatchedTasks.has(name), "dispatched twice");
        assert.ok(!this.sealedSubmissions.has(submissionKey), "dispatched after the submission was sealed");
        assert.ok(startSequence > (this.refusedUpToStart.get(name) ?? 0), "dispatched by a refused start");
        assert.ok(this.registrationNumber > 0, "dispatched before the agent was registered");
        assert.ok(
            this.registrationNumber <= identity.registryVersion,
            "dispatched under a submission id that is older than the registration",
        );
        assert.ok(this.isPermitted, "dispatched although the manifest does not permit it");
        assert.ok(
            this.isBackendPresent && !this.isStopped,
            "dispatched while the agent or the backend server is leaving",
        );
        this.dispatchedTasks.add(name);
        this.runningTasks.add(name);
    }

    private checkReport(name: string, report: { readonly state: string; readonly startSequence?: number }): void {
        if (report.state === "refused") {
            assert.ok(
                !this.runningTasks.has(name) && !this.endedTasks.has(name),
                "reported as refused although it was dispatched",
            );
            const upTo = Math.max(report.startSequence ?? 0, this.refusedUpToStart.get(name) ?? 0);
            this.refusedUpToStart.set(name, upTo);
        }
        if (report.state === "unknown") {
            assert.ok(
                !this.dispatchedTasks.has(name) || !this.endedTasks.has(name),
                "reported as unknown although it ran",
            );
        }
        if (report.state === "running") {
            assert.ok(this.runningTasks.has(name), "reported as running although it is not");
        }
    }

    private checkSealReport(message: {
        readonly submission: string;
        readonly reports: readonly { readonly index: number }[];
        readonly incomplete: boolean;
    }): void {
        this.sealedSubmissions.add(message.submission);
        if (message.incomplete) {
            return;
        }
        const reported = message.reports.map(report => `${message.submission}/${report.index}`);
        const started = [...this.runningTasks, ...this.endedTasks].filter(name =>
            name.startsWith(`${message.submission}/`)
        );
        assert.deepEqual(reported.sort(), started.sort(), "the seal report does not match the started tasks");
    }

    /** Checks that every task that ran is in the handover or at or below the low-water mark of its owner. */
    public checkHandover(): void {
        const handover = this.agent.core.createLedgerHandover();
        const listed = new Set(
            handover.submissions.flatMap(row => row.reports.map(report => `${row.submission}/${report.index}`)),
        );
        for (const name of [...this.runningTasks, ...this.endedTasks]) {
            const identity = this.agent.codec.decode(name.slice(0, name.lastIndexOf("/"))).unwrap();
            const mark = handover.lowWaterMarks[identity.owner.incarnation] ?? 0;
            assert.ok(listed.has(name) || identity.sequence <= mark, "the handover lacks a started task");
        }
    }
}

/** Performs a list of actions on one agent and checks the invariants after every tick. */
export class Interleaving {
    private readonly agent: AgentHarness;
    private readonly checker: InvariantChecker;
    /** All messages written so far; each is delivered any number of times and in any order. */
    private readonly writtenMessages: AgentInput[] = [];

    public constructor(maximumLedgerBytes: number) {
        this.agent = new AgentHarness({ standByLimit: 2, prefetchLimit: 1, maximumLedgerBytes });
        this.agent.slots = 2;
        this.agent.registryVersion = 4;
        this.checker = new InvariantChecker(this.agent);
        this.acceptAndCheck({ type: "manifestAccepted", manifest: createManifest(1, ["kolonnawa"]) });
    }

    public run(run: Run): void {
        if (run.isServing) {
            this.performAction({ kind: "announce" });
            this.performAction({ kind: "register", number: 1 });
        }
        for (const action of run.actions) {
            this.performAction(action);
        }
        if (run.actionsAfterStop.length > 0) {
            this.checker.isStopped = true;
            this.acceptAndCheck({ type: "stop" });
        }
        for (const action of run.actionsAfterStop) {
            this.performAction(action);
        }
        this.checker.checkHandover();
    }

    public countDispatches(): number {
        return this.agent.listDispatches().length;
    }

    private acceptAndCheck(input: AgentInput): void {
        this.checker.checkOutputs(this.agent.accept(input));
    }

    private performAction(action: Action): void {
        switch (action.kind) {
            case "start":
                this.writtenMessages.push(this.writeStart(action));
                return;
            case "recall":
                this.writtenMessages.push(this.writeRecall(action));
                return;
            case "deliver":
                return this.deliverMessage(action.choice);
            case "end":
                return this.endTask(action.choice, action.outcome);
            case "seal": {
                const submissions = [this.encodeId(action)];
                const inputs = this.agent.createBatch(sealingEntry, [{ type: "sealSubmissions", submissions }]);
                return this.acceptAndCheck(inputs);
            }
            case "acknowledge": {
                const indexes = [0, 1, 2];
                const message = {
                    type: "acknowledgeOutcomes",
                    submission: this.encodeId(action),
                    indexes,
                    declinedSlots: 0,
                } as const;
                return this.acceptAndCheck(this.agent.createBatch(getOwnerName(action.owner), [message]));
            }
            case "bid": {
                const { waitingTasks } = action;
                const message = { type: "placeBid", service: "alerts", oldestArrivalMilliseconds: 1, waitingTasks };
                return this.acceptAndCheck(this.agent.createBatch(getOwnerName(action.owner), [message as never]));
            }
            default:
                return this.performLocalAction(action);
        }
    }

    private performLocalAction(action: Action): void {
        const { checker, agent } = this;
        switch (action.kind) {
            case "manifest":
                checker.manifestVersion += 1;
                checker.isPermitted = action.permitted;
                return this.acceptAndCheck({
                    type: "manifestAccepted",
                    manifest: createManifest(checker.manifestVersion, [action.permitted ? "kolonnawa" : "dehiwala"]),
                });
            case "version":
                agent.configurationVersion = checker.manifestVersion + action.ahead;
                return;
            case "advanceClock":
                return this.advanceClock(action.milliseconds);
            case "unreachable": {
                const { address } = agent.identifyEntry(getOwnerName(action.owner));
                return this.acceptAndCheck({ type: "peerUnreachable", address });
            }
            case "announce":
                checker.isBackendPresent = true;
                return this.acceptAndCheck({
                    type: "backendAnnounced",
                    announcement: { url: "http://127.0.0.1:9100", slots: 2, connections: 4, services: ["alerts"] },
                });
            case "leave":
                checker.isBackendPresent = false;
                return this.acceptAndCheck({ type: "backendLeaving" });
            case "register":
                checker.registrationNumber = Math.max(checker.registrationNumber, action.number);
                return this.acceptAndCheck({ type: "registered", number: action.number });
        }
    }

    private advanceClock(milliseconds: number): void {
        const before = this.agent.outputs.length;
        this.agent.advanceClock(milliseconds);
        this.checker.checkOutputs(this.agent.outputs.slice(before));
        if (this.agent.core.getStatus().backendServer === "silent") {
            this.checker.isBackendPresent = false;
        }
    }

    private encodeId(action: { readonly owner: number; readonly submission: number }): string {
        return this.agent.encodeId(`${getOwnerName(action.owner)}${action.submission}`);
    }

    private writeStart(action: Extract<Action, { kind: "start" }>): AgentInput {
        const name = getOwnerName(action.owner);
        const indexes = Array.from({ length: tasksPerSubmission - action.first }, (_, offset) => action.first + offset);
        const message: StartTasks = this.agent.createStart(name, `${name}${action.submission}`, indexes);
        assert.equal(message.agent, agentIncarnation);
        return this.agent.createBatch(name, [message]);
    }

    private writeRecall(action: Extract<Action, { kind: "recall" }>): AgentInput {
        const name = getOwnerName(action.owner);
        const startSequence = this.agent.takeStartSequence(name);
        const indexes = [action.index];
        return this.agent.createBatch(name, [
            { type: "recallTasks", submission: this.encodeId(action), startSequence, indexes },
        ]);
    }

    private deliverMessage(choiceNumber: number): void {
        // The index counts from the newest message, so most messages arrive soon and some arrive late or repeatedly.
        const input = this.writtenMessages.at(-1 - choiceNumber % Math.max(1, this.writtenMessages.length));
        if (input !== undefined) {
            this.acceptAndCheck(input);
        }
    }

    private endTask(choiceNumber: number, outcomeNumber: number): void {
        const running = [...this.checker.runningTasks];
        const name = running[choiceNumber % Math.max(1, running.length)];
        if (name === undefined) {
            return;
        }
        const separator = name.lastIndexOf("/");
        const outcomes: readonly TaskOutcome[] = [
            { kind: "succeeded", output: "x".repeat(100) },
            { kind: "failed", reason: "status 500" },
            { kind: "not-delivered", reason: "connection refused" },
        ];
        const outcome = outcomes[outcomeNumber] as TaskOutcome;
        this.checker.runningTasks.delete(name);
        if (outcome.kind !== "not-delivered") {
            this.checker.endedTasks.add(name);
        }
        this.acceptAndCheck({
            type: "taskEnded",
            submission: name.slice(0, separator),
            index: Number(name.slice(separator + 1)),
            outcome,
        });
    }
}

function getOwnerName(position: number): string {
    return owners[position] ?? "A";
}

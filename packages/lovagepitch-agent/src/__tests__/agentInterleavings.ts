/**
 * Random interleavings of everything that can happen to an agent, and what must hold in all of them.
 */
import type { StartTasks } from "@lovagepitch/types/peerMessage";
import fc from "fast-check";
import assert from "node:assert/strict";
import type { AgentInput, TaskOutcome } from "../core/agentInput.js";
import type { AgentOutput } from "../core/agentOutput.js";
import { AgentHarness, agentIncarnation, makeManifest } from "./agentHarness.js";

const keepers = ["A", "B"];
const sweeper = "S";
const submissionsPerKeeper = 3;
const tasksPerSubmission = 3;

/** One thing that happens; numbers choose among what is there. */
export type Action =
    | { readonly kind: "write"; readonly keeper: number; readonly submission: number; readonly first: number }
    | { readonly kind: "recall"; readonly keeper: number; readonly submission: number; readonly index: number }
    | { readonly kind: "deliver"; readonly choice: number }
    | { readonly kind: "end"; readonly choice: number; readonly outcome: number }
    | { readonly kind: "seal"; readonly keeper: number; readonly submission: number }
    | { readonly kind: "acknowledge"; readonly keeper: number; readonly submission: number }
    | { readonly kind: "bid"; readonly keeper: number; readonly waitingTasks: number }
    | { readonly kind: "manifest"; readonly permitted: boolean }
    | { readonly kind: "version"; readonly ahead: number }
    | { readonly kind: "pass"; readonly milliseconds: number }
    | { readonly kind: "unreachable"; readonly keeper: number }
    | { readonly kind: "announce" }
    | { readonly kind: "leave" }
    | { readonly kind: "register"; readonly number: number };

const keeper = fc.nat({ max: keepers.length - 1 });
const submission = fc.integer({ min: 1, max: submissionsPerKeeper });
const index = fc.nat({ max: tasksPerSubmission - 1 });
const choice = fc.oneof({ weight: 4, arbitrary: fc.constant(0) }, { weight: 1, arbitrary: fc.nat({ max: 40 }) });

const mostly = fc.oneof({ weight: 4, arbitrary: fc.constant(true) }, { weight: 1, arbitrary: fc.constant(false) });

/** Actions in any order; starts and their deliveries are the most frequent. */
const actions: fc.Arbitrary<Action[]> = fc.array(
    fc.oneof(
        { weight: 8, arbitrary: fc.record({ kind: fc.constant("write" as const), keeper, submission, first: index }) },
        { weight: 16, arbitrary: fc.record({ kind: fc.constant("deliver" as const), choice }) },
        { weight: 8, arbitrary: fc.record({ kind: fc.constant("end" as const), choice, outcome: fc.nat({ max: 2 }) }) },
        { weight: 2, arbitrary: fc.record({ kind: fc.constant("recall" as const), keeper, submission, index }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("seal" as const), keeper, submission }) },
        { weight: 3, arbitrary: fc.record({ kind: fc.constant("acknowledge" as const), keeper, submission }) },
        {
            weight: 3,
            arbitrary: fc.record({ kind: fc.constant("bid" as const), keeper, waitingTasks: fc.nat({ max: 3 }) }),
        },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("manifest" as const), permitted: mostly }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("version" as const), ahead: fc.nat({ max: 1 }) }) },
        {
            weight: 3,
            arbitrary: fc.record({
                kind: fc.constant("pass" as const),
                milliseconds: fc.constantFrom(1, 20, 300, 1_500, 4_000, 61_000),
            }),
        },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("unreachable" as const), keeper }) },
        { weight: 6, arbitrary: fc.record({ kind: fc.constant("announce" as const) }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("leave" as const) }) },
        {
            weight: 1,
            arbitrary: fc.record({ kind: fc.constant("register" as const), number: fc.constantFrom(1, 1, 2, 4, 5) }),
        },
    ),
    { minLength: 10, maxLength: 80 },
);

/** A run: how it begins, what happens, and what happens after a planned stop began. */
export const runs = fc.record({
    isServing: mostly,
    actions,
    actionsAfterStop: fc.oneof({ weight: 3, arbitrary: fc.constant([]) }, { weight: 1, arbitrary: actions }),
});

/** One run of an agent. */
export interface Run {
    readonly isServing: boolean;
    readonly actions: readonly Action[];
    readonly actionsAfterStop: readonly Action[];
}

/** What the agent was told and what it said, to judge it by. */
class Judge {
    public permitted = true;
    public version = 1;
    public registrationNumber = 0;
    public isBackendPresent = false;
    public isStopped = false;
    public readonly running = new Set<string>();
    public readonly ended = new Set<string>();
    private readonly dispatched = new Set<string>();
    private readonly sealed = new Set<string>();
    /** Highest start that a refusal holds for, by task. */
    private readonly refusedUpTo = new Map<string, number>();

    public constructor(private readonly agent: AgentHarness) {}

    public judge(outputs: readonly AgentOutput[]): void {
        for (const output of outputs) {
            if (output.type === "dispatch") {
                this.judgeDispatch(output.task.submission, output.task.index, Number(output.task.payload));
            }
        }
        for (const output of outputs) {
            if (output.type === "send" && output.message.type === "reportTasks") {
                for (const { index: task, report } of output.message.reports) {
                    this.judgeReport(`${output.message.submission}/${task}`, report);
                }
            }
            if (output.type === "send" && output.message.type === "reportSeal") {
                this.judgeSeal(output.message);
            }
        }
        const { slots, runningTasks } = this.agent.core.getStatus();
        assert.equal(runningTasks, this.running.size);
        assert.ok(slots === 0 || runningTasks <= this.agent.slots, "more tasks run than there are slots");
    }

    private judgeDispatch(submissionKey: string, task: number, startSequence: number): void {
        const name = `${submissionKey}/${task}`;
        const identity = this.agent.codec.decode(submissionKey).unwrap();
        assert.ok(!this.dispatched.has(name), "dispatched twice");
        assert.ok(!this.sealed.has(submissionKey), "dispatched after it was sealed");
        assert.ok(startSequence > (this.refusedUpTo.get(name) ?? 0), "dispatched by a start that was refused");
        assert.ok(this.registrationNumber > 0, "dispatched before the registration");
        assert.ok(this.registrationNumber <= identity.registryVersion, "dispatched under an older registry");
        assert.ok(this.permitted, "dispatched where it is not permitted");
        assert.ok(this.isBackendPresent && !this.isStopped, "dispatched while leaving");
        this.dispatched.add(name);
        this.running.add(name);
    }

    private judgeReport(name: string, report: { readonly state: string; readonly startSequence?: number }): void {
        if (report.state === "refused") {
            assert.ok(!this.running.has(name) && !this.ended.has(name), "refused though it was handed over");
            const upTo = Math.max(report.startSequence ?? 0, this.refusedUpTo.get(name) ?? 0);
            this.refusedUpTo.set(name, upTo);
        }
        if (report.state === "unknown") {
            assert.ok(!this.dispatched.has(name) || !this.ended.has(name), "unknown though it ran");
        }
        if (report.state === "running") {
            assert.ok(this.running.has(name), "running though it does not");
        }
    }

    private judgeSeal(message: {
        readonly submission: string;
        readonly reports: readonly { readonly index: number }[];
        readonly incomplete: boolean;
    }): void {
        this.sealed.add(message.submission);
        if (message.incomplete) {
            return;
        }
        const reported = message.reports.map(report => `${message.submission}/${report.index}`);
        const started = [...this.running, ...this.ended].filter(name => name.startsWith(`${message.submission}/`));
        assert.deepEqual(reported.sort(), started.sort(), "a seal report lacks what was started");
    }

    /** Every task that ran is in the handover or at or under its keeper's low-water mark. */
    public judgeHandover(): void {
        const handover = this.agent.core.createLedgerHandover();
        const listed = new Set(
            handover.submissions.flatMap(row => row.reports.map(report => `${row.submission}/${report.index}`)),
        );
        for (const name of [...this.running, ...this.ended]) {
            const identity = this.agent.codec.decode(name.slice(0, name.lastIndexOf("/"))).unwrap();
            const mark = handover.lowWaterMarks[identity.owner.incarnation] ?? 0;
            assert.ok(listed.has(name) || identity.sequence <= mark, "the handover lacks what was started");
        }
    }
}

/** Runs a list of actions against one agent and judges every tick. */
export class Interleaving {
    private readonly agent: AgentHarness;
    private readonly judge: Judge;
    /** Every message ever written; each is delivered any number of times, in any order. */
    private readonly written: AgentInput[] = [];

    public constructor(maximumLedgerBytes: number) {
        this.agent = new AgentHarness({ standByLimit: 2, prefetchLimit: 1, maximumLedgerBytes });
        this.agent.slots = 2;
        this.agent.registryVersion = 4;
        this.judge = new Judge(this.agent);
        this.feed({ type: "manifestAccepted", manifest: makeManifest(1, ["kolonnawa"]) });
    }

    public run(run: Run): void {
        if (run.isServing) {
            this.perform({ kind: "announce" });
            this.perform({ kind: "register", number: 1 });
        }
        for (const action of run.actions) {
            this.perform(action);
        }
        if (run.actionsAfterStop.length > 0) {
            this.judge.isStopped = true;
            this.feed({ type: "stop" });
        }
        for (const action of run.actionsAfterStop) {
            this.perform(action);
        }
        this.judge.judgeHandover();
    }

    public countDispatches(): number {
        return this.agent.dispatches().length;
    }

    private feed(input: AgentInput): void {
        this.judge.judge(this.agent.accept(input));
    }

    private perform(action: Action): void {
        switch (action.kind) {
            case "write":
                this.written.push(this.writeStart(action));
                return;
            case "recall":
                this.written.push(this.writeRecall(action));
                return;
            case "deliver":
                return this.deliver(action.choice);
            case "end":
                return this.end(action.choice, action.outcome);
            case "seal": {
                const submissions = [this.nameOf(action)];
                const inputs = this.agent.batch(sweeper, [{ type: "sealSubmissions", submissions }]);
                return this.feed(inputs);
            }
            case "acknowledge": {
                const indexes = [0, 1, 2];
                const message = {
                    type: "acknowledgeOutcomes",
                    submission: this.nameOf(action),
                    indexes,
                    declinedSlots: 0,
                } as const;
                return this.feed(this.agent.batch(keeperName(action.keeper), [message]));
            }
            case "bid": {
                const { waitingTasks } = action;
                const message = { type: "placeBid", service: "alerts", oldestArrivalMilliseconds: 1, waitingTasks };
                return this.feed(this.agent.batch(keeperName(action.keeper), [message as never]));
            }
            default:
                return this.performOwn(action);
        }
    }

    private performOwn(action: Action): void {
        const { judge, agent } = this;
        switch (action.kind) {
            case "manifest":
                judge.version += 1;
                judge.permitted = action.permitted;
                return this.feed({
                    type: "manifestAccepted",
                    manifest: makeManifest(judge.version, [action.permitted ? "kolonnawa" : "dehiwala"]),
                });
            case "version":
                agent.configurationVersion = judge.version + action.ahead;
                return;
            case "pass":
                return this.pass(action.milliseconds);
            case "unreachable": {
                const { address } = agent.identity(keeperName(action.keeper));
                return this.feed({ type: "peerUnreachable", address });
            }
            case "announce":
                judge.isBackendPresent = true;
                return this.feed({
                    type: "backendAnnounced",
                    offer: { url: "http://127.0.0.1:9100", slots: 2, connections: 4, services: ["alerts"] },
                });
            case "leave":
                judge.isBackendPresent = false;
                return this.feed({ type: "backendLeaving" });
            case "register":
                judge.registrationNumber = Math.max(judge.registrationNumber, action.number);
                return this.feed({ type: "registered", number: action.number });
        }
    }

    private pass(milliseconds: number): void {
        const before = this.agent.outputs.length;
        this.agent.pass(milliseconds);
        this.judge.judge(this.agent.outputs.slice(before));
        if (this.agent.core.getStatus().backendServer === "silent") {
            this.judge.isBackendPresent = false;
        }
    }

    private nameOf(action: { readonly keeper: number; readonly submission: number }): string {
        return this.agent.submission(`${keeperName(action.keeper)}${action.submission}`);
    }

    private writeStart(action: Extract<Action, { kind: "write" }>): AgentInput {
        const name = keeperName(action.keeper);
        const indexes = Array.from({ length: tasksPerSubmission - action.first }, (_, offset) => action.first + offset);
        const message: StartTasks = this.agent.makeStart(name, `${name}${action.submission}`, indexes);
        assert.equal(message.agent, agentIncarnation);
        return this.agent.batch(name, [message]);
    }

    private writeRecall(action: Extract<Action, { kind: "recall" }>): AgentInput {
        const name = keeperName(action.keeper);
        const startSequence = this.agent.nextSequence(name);
        const indexes = [action.index];
        return this.agent.batch(name, [
            { type: "recallTasks", submission: this.nameOf(action), startSequence, indexes },
        ]);
    }

    private deliver(choiceNumber: number): void {
        // Counted from the newest, so that most messages arrive soon and some arrive late or again.
        const input = this.written.at(-1 - choiceNumber % Math.max(1, this.written.length));
        if (input !== undefined) {
            this.feed(input);
        }
    }

    private end(choiceNumber: number, outcomeNumber: number): void {
        const running = [...this.judge.running];
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
        this.judge.running.delete(name);
        if (outcome.kind !== "not-delivered") {
            this.judge.ended.add(name);
        }
        this.feed({
            type: "taskEnded",
            submission: name.slice(0, separator),
            index: Number(name.slice(separator + 1)),
            outcome,
        });
    }
}

function keeperName(number: number): string {
    return keepers[number] ?? "A";
}

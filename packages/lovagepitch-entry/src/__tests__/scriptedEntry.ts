/**
 * An entry's core with scripted agents and a manual clock.
 */
import type { PeerIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { Manifest } from "@lovagepitch/types/manifest";
import type { AgentLoad, OutgoingMessage, PeerMessage, StartTasks, TaskReport } from "@lovagepitch/types/peerMessage";
import { ManualClock } from "@lovagepitch/utils/clock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import { SubmissionCodec } from "@lovagepitch/utils/submissionCodec";
import { EntryCore } from "../core/entryCore.js";
import type { EntryInput } from "../core/entryInput.js";
import type { EntryOutput, EntryResponse } from "../core/entryOutput.js";

const startAtMilliseconds = 1_800_000_000_000;
const resubmissionWindowMilliseconds = 600_000;
const slots = 8;

const manifest: Manifest = {
    availabilityZones: ["lekki"],
    teams: [{ name: "desk", quota: { guaranteedSlots: 4, maximumWaitingTasks: 1_000 } }],
    services: [{
        name: "settlement",
        kinds: [{
            name: "check",
            availabilityZones: ["lekki"],
            maximumCores: 4,
            maximumMemoryMegabytes: 1_024,
            maximumDeadlineMilliseconds: 60_000,
            taskTimeoutMilliseconds: 30_000,
        }],
    }],
};

/** An entry under test. */
export class ScriptedEntry {
    /** Clock that the test advances. */
    public readonly clock = new ManualClock(startAtMilliseconds);
    /** Messages that the entry sent, in order. */
    public readonly sent: OutgoingMessage[] = [];
    /** Responses by request id. */
    public readonly responses = new Map<number, EntryResponse>();
    private readonly codec = new SubmissionCodec("a key of at least thirty-two characters");
    private readonly core: EntryCore;
    private lastRequest = 0;

    /** Creates an entry with a manifest. */
    public constructor() {
        this.core = new EntryCore({
            identity: { address: "10.1.0.1:7000", incarnation: "e1" },
            settings: {
                availabilityZone: "lekki",
                maximumAnswerBytes: 1_000_000,
                maximumWaitingTasks: 1_000,
                policy: { startOrder: "oldest-first", bids: 2, maximumEjectedShare: 0.5 },
                resubmissionWindowMilliseconds: resubmissionWindowMilliseconds,
            },
            codec: this.codec,
            clock: this.clock,
            random: new RandomSource(1),
        });
        const versioned = { version: 1, manifest, digest: "digest", appliedBy: "operator" };
        this.accept({ type: "manifestAccepted", manifest: versioned });
    }

    /**
     * Passes an input to the core and runs a tick.
     *
     * @param input - input to handle
     */
    public accept(input: EntryInput): void {
        this.core.accept(input);
        this.performOutputs(this.core.tick());
    }

    /**
     * Advances the clock and runs a tick for each timer that is due.
     *
     * @param milliseconds - time to pass
     */
    public advance(milliseconds: number): void {
        const endAt = this.clock.nowMilliseconds() + milliseconds;
        for (;;) {
            const wakeAt = this.core.nextWakeAtMilliseconds();
            if (wakeAt === undefined || wakeAt > endAt) {
                break;
            }
            this.clock.advanceTo(wakeAt);
            this.performOutputs(this.core.tick());
        }
        this.clock.advanceTo(endAt);
    }

    /**
     * Delivers the announcement of a registered agent.
     *
     * @param agent - identity of the agent
     * @param number - registration number of the agent
     */
    public announce(agent: PeerIdentity, number: number): void {
        this.receive(agent, {
            type: "announceAgent",
            worker: agent.incarnation,
            rack: "rack",
            availabilityZone: "lekki",
            cores: 16,
            memoryMegabytes: 32_768,
            registrationNumber: number,
            services: ["settlement"],
            load: createLoad({}),
        });
    }

    /**
     * Delivers a message from an agent.
     *
     * @param agent - identity of the sender
     * @param message - message to deliver
     */
    public receive(agent: PeerIdentity, message: PeerMessage): void {
        const batch = { sender: agent, role: "agent" as const, configurationVersion: 1, messages: [message] };
        this.accept({ type: "peerBatch", batch });
    }

    /**
     * Delivers an agent's report on the tasks of a start.
     *
     * @param agent - identity of the agent
     * @param start - start whose tasks are reported
     * @param report - state of each task
     * @param load - load that differs from an idle agent's
     */
    public report(
        agent: PeerIdentity,
        start: StartTasks,
        report: TaskReport["report"],
        load: Partial<AgentLoad> = {},
    ): void {
        const reports = start.tasks.map(task => ({ index: task.index, report }));
        const { submission } = start;
        this.receive(agent, { type: "reportTasks", submission, reports, load: createLoad(load), offeredSlots: 0 });
    }

    /**
     * Submits a job of identical tasks.
     *
     * @param tasks - number of tasks
     * @param submission - submission id; a new one is issued when undefined
     * @returns request id and submission id
     */
    public submit(tasks: number, submission?: SubmissionKey): { request: number; submission: SubmissionKey } {
        const id = submission ?? this.issue();
        const request = this.nextRequest();
        this.accept({ type: "submit", request, submission: id, job: createJob(tasks) });
        return { request, submission: id };
    }

    /**
     * Creates a submission id of another entry.
     *
     * @param lifetimeMilliseconds - time until the id expires; may be negative
     * @returns the encoded id
     */
    public createForeignSubmission(lifetimeMilliseconds: number): SubmissionKey {
        return this.codec.encode({
            owner: { address: "10.1.0.2:7000", incarnation: "e2" },
            sequence: 1,
            expiresAtMilliseconds: this.clock.nowMilliseconds() + lifetimeMilliseconds,
            registryVersion: 1,
        });
    }

    /**
     * Returns the starts sent since the last call and clears the sent messages.
     *
     * @returns starts with the addresses of the receiving agents
     */
    public takeStarts(): readonly { readonly destination: string; readonly message: StartTasks }[] {
        const starts = this.sent.flatMap(({ destination, message }) =>
            message.type === "startTasks" ? [{ destination, message }] : []
        );
        this.sent.length = 0;
        return starts;
    }

    private issue(): SubmissionKey {
        const request = this.nextRequest();
        this.accept({ type: "issue", request, count: 1 });
        const response = this.responses.get(request);
        return response?.kind === "issued" ? response.submissions[0] ?? "" : "";
    }

    private nextRequest(): number {
        this.lastRequest += 1;
        return this.lastRequest;
    }

    private performOutputs(outputs: readonly EntryOutput[]): void {
        for (const output of outputs) {
            if (output.type === "send") {
                this.sent.push(output);
            }
            if (output.type === "respond") {
                this.responses.set(output.request, output.response);
            }
        }
    }
}

function createLoad(load: Partial<AgentLoad>): AgentLoad {
    return {
        slots,
        runningTasks: 0,
        standingByTasks: 0,
        standByLimit: 3,
        suspect: false,
        leaving: false,
        ...load,
    };
}

function createJob(tasks: number): JobRequest {
    return {
        team: "desk",
        service: "settlement",
        kind: "check",
        deadlineMilliseconds: 30_000,
        idempotent: false,
        tasks: Array.from({ length: tasks }, () => ({
            payload: 1,
            cores: 1,
            memoryMegabytes: 1,
            expectedMilliseconds: 100,
        })),
    };
}

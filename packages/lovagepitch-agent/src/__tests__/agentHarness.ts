/**
 * An agent's core on a clock moved by hand, with entries that are names.
 */
import type { Decision } from "@lovagepitch/types/decision";
import type { PeerIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { VersionedManifest } from "@lovagepitch/types/manifest";
import type { PeerMessage, StartTasks, TaskReportState } from "@lovagepitch/types/peerMessage";
import { ManualClock } from "@lovagepitch/utils/clock";
import { SubmissionCodec } from "@lovagepitch/utils/submissionCodec";
import { AgentCore } from "../core/agentCore.js";
import type { AgentCoreSettings } from "../core/agentCoreSettings.js";
import type { AgentInput, TaskOutcome } from "../core/agentInput.js";
import type { AgentOutput, TaskDispatch } from "../core/agentOutput.js";

export const startMilliseconds = 1_800_000_000_000;
export const agentIncarnation = "a9e27";
const deadlineMilliseconds = 60_000;
const key = "a key of at least thirty-two characters";

/** A message that the agent sent, with the entry's name. */
export interface SentMessage {
    readonly destination: string;
    readonly message: PeerMessage;
}

/** Drives one agent. */
export class AgentHarness {
    public readonly clock = new ManualClock(startMilliseconds);
    public readonly codec = new SubmissionCodec(key);
    public readonly outputs: AgentOutput[] = [];
    public readonly core: AgentCore;
    public slots = 1;
    public registryVersion = 5;
    public configurationVersion = 1;
    public lastStart: { readonly entry: string; readonly message: StartTasks } | undefined;
    private readonly names = new Map<SubmissionKey, string>();
    private readonly sequences = new Map<string, number>();
    private readonly incarnations = new Map<string, number>();

    public constructor(settings: Partial<AgentCoreSettings> = {}) {
        this.core = new AgentCore({
            identity: { address: "127.0.0.1:9000", incarnation: agentIncarnation },
            codec: this.codec,
            clock: this.clock,
            settings: {
                worker: "kolonnawa-1",
                rack: "rack-1",
                availabilityZone: "kolonnawa",
                cores: 16,
                memoryMegabytes: 32_000,
                standByLimit: 0,
                maximumLedgerBytes: 1_000_000,
                resubmissionWindowMilliseconds: 600_000,
                backendServerTimeoutMilliseconds: 3_000,
                prefetchLimit: 0,
                ...settings,
            },
        });
    }

    /** Brings the agent to the point where it serves. */
    public serve(slots: number): void {
        this.slots = slots;
        this.accept({ type: "manifestAccepted", manifest: makeManifest(1, ["kolonnawa"]) });
        this.announce();
        this.accept({ type: "registered", number: 1 });
    }

    public announce(services: readonly string[] = ["alerts"]): void {
        const url = "http://127.0.0.1:9100";
        this.accept({ type: "backendAnnounced", offer: { url, slots: this.slots, connections: 64, services } });
    }

    public accept(...inputs: readonly AgentInput[]): readonly AgentOutput[] {
        for (const input of inputs) {
            this.core.accept(input);
        }
        return this.tick();
    }

    public tick(): readonly AgentOutput[] {
        const outputs = this.core.tick();
        this.outputs.push(...outputs);
        return outputs;
    }

    /** Moves the clock and ticks whenever the core asked for it. */
    public pass(milliseconds: number): void {
        const end = this.clock.nowMilliseconds() + milliseconds;
        let wakeAt = this.core.nextWakeAtMilliseconds();
        while (wakeAt !== undefined && wakeAt <= end) {
            this.clock.advanceTo(wakeAt);
            this.tick();
            wakeAt = this.core.nextWakeAtMilliseconds();
        }
        this.clock.advanceTo(end);
    }

    public identity(entry: string): PeerIdentity {
        const incarnation = `e${entry.charCodeAt(0).toString(16)}${this.incarnations.get(entry) ?? 0}`;
        return { address: addressOf(entry), incarnation };
    }

    public restart(entry: string): void {
        this.incarnations.set(entry, (this.incarnations.get(entry) ?? 0) + 1);
        this.sequences.delete(entry);
    }

    /** Finds the id of a submission named by its keeper and sequence, such as "A1". */
    public submission(name: string): SubmissionKey {
        const submission = this.codec.encode({
            owner: this.identity(name.slice(0, 1)),
            sequence: Number(name.slice(1)),
            expiresAtMilliseconds: startMilliseconds + 3_600_000,
            registryVersion: this.registryVersion,
        });
        this.names.set(submission, name);
        return submission;
    }

    public send(entry: string, ...messages: readonly PeerMessage[]): readonly AgentOutput[] {
        return this.accept(this.batch(entry, messages));
    }

    public batch(entry: string, messages: readonly PeerMessage[]): AgentInput {
        const { configurationVersion } = this;
        const sender = this.identity(entry);
        return { type: "peerBatch", batch: { sender, role: "entry", configurationVersion, messages } };
    }

    /** Makes the entry's next start; each task's payload is the start's sequence. */
    public makeStart(entry: string, name: string, indexes: readonly number[], kind = "thirst"): StartTasks {
        const startSequence = this.nextSequence(entry);
        return {
            type: "startTasks",
            submission: this.submission(name),
            agent: agentIncarnation,
            startSequence,
            team: "gardeners",
            service: "alerts",
            kind,
            deadlineAtMilliseconds: this.clock.nowMilliseconds() + deadlineMilliseconds,
            tasks: indexes.map(index => ({ index, payload: startSequence, expectedMilliseconds: 100 })),
        };
    }

    public start(entry: string, name: string, indexes: readonly number[], changes: Partial<StartTasks> = {}): void {
        const message = { ...this.makeStart(entry, name, indexes), ...changes };
        this.lastStart = { entry, message };
        this.send(entry, message);
    }

    public nextSequence(entry: string): number {
        const next = (this.sequences.get(entry) ?? 0) + 1;
        this.sequences.set(entry, next);
        return next;
    }

    public end(name: string, index: number, outcome: TaskOutcome): void {
        this.accept({ type: "taskEnded", submission: this.submission(name), index, outcome });
    }

    public dispatches(): readonly TaskDispatch[] {
        return this.outputs.flatMap(output => output.type === "dispatch" ? [output.task] : []);
    }

    /** Lists the dispatched tasks as "A1/0". */
    public dispatched(): readonly string[] {
        return this.dispatches().map(task => `${this.names.get(task.submission) ?? "unnamed"}/${task.index}`);
    }

    public sent(): readonly SentMessage[] {
        return this.outputs.flatMap(output => output.type === "send" ? [output] : []);
    }

    public sentTo(entry: string): readonly PeerMessage[] {
        return this.sent().filter(sent => sent.destination === addressOf(entry)).map(sent => sent.message);
    }

    public reportsTo(entry: string, name: string, index: number): readonly TaskReportState[] {
        const submission = this.submission(name);
        return this.sentTo(entry)
            .flatMap(message => message.type === "reportTasks" && message.submission === submission ? [message] : [])
            .flatMap(message => message.reports)
            .filter(report => report.index === index)
            .map(report => report.report);
    }

    public decisions(): readonly Decision[] {
        return this.outputs.flatMap(output => output.type === "decision" ? [output.decision] : []);
    }
}

export function addressOf(entry: string): string {
    return `127.0.0.1:${7_000 + entry.charCodeAt(0)}`;
}

export function makeManifest(version: number, availabilityZones: readonly string[]): VersionedManifest {
    const kind = {
        name: "thirst",
        availabilityZones,
        maximumCores: 4,
        maximumMemoryMegabytes: 1_000,
        maximumDeadlineMilliseconds: 120_000,
        taskTimeoutMilliseconds: 10_000,
    };
    const manifest = {
        availabilityZones: ["kolonnawa", "dehiwala"],
        teams: [],
        services: [{ name: "alerts", kinds: [kind, { ...kind, name: "heat", availabilityZones: ["dehiwala"] }] }],
    };
    return { version, manifest, digest: `digest-${version}`, appliedBy: "operator" };
}

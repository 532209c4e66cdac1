/**
 * Test harness for an agent's core with a manual clock. Entries are named by a letter.
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
const submissionKey = "a key of at least thirty-two characters";

/** A message that the agent sent, with the address of its receiver. */
export interface SentMessage {
    readonly destination: string;
    readonly message: PeerMessage;
}

/** Runs the core of one agent and records its outputs. */
export class AgentHarness {
    public readonly clock = new ManualClock(startMilliseconds);
    public readonly codec = new SubmissionCodec(submissionKey);
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

    /** Provides a manifest, a backend server and a registration, so that the agent serves. */
    public startServing(slots: number): void {
        this.slots = slots;
        this.accept({ type: "manifestAccepted", manifest: createManifest(1, ["kolonnawa"]) });
        this.announceBackendServer();
        this.accept({ type: "registered", number: 1 });
    }

    public announceBackendServer(services: readonly string[] = ["alerts"]): void {
        const url = "http://127.0.0.1:9100";
        this.accept({ type: "backendAnnounced", announcement: { url, slots: this.slots, connections: 64, services } });
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

    /** Advances the clock and runs a tick at each time that the core requested. */
    public advanceClock(milliseconds: number): void {
        const endMilliseconds = this.clock.nowMilliseconds() + milliseconds;
        let wakeAt = this.core.nextWakeAtMilliseconds();
        while (wakeAt !== undefined && wakeAt <= endMilliseconds) {
            this.clock.advanceTo(wakeAt);
            this.tick();
            wakeAt = this.core.nextWakeAtMilliseconds();
        }
        this.clock.advanceTo(endMilliseconds);
    }

    public identifyEntry(entry: string): PeerIdentity {
        const incarnation = `e${entry.charCodeAt(0).toString(16)}${this.incarnations.get(entry) ?? 0}`;
        return { address: getEntryAddress(entry), incarnation };
    }

    public restartEntry(entry: string): void {
        this.incarnations.set(entry, (this.incarnations.get(entry) ?? 0) + 1);
        this.sequences.delete(entry);
    }

    /** Encodes the id of a submission that is named by its owner and sequence, such as "A1". */
    public encodeId(name: string): SubmissionKey {
        const submission = this.codec.encode({
            owner: this.identifyEntry(name.slice(0, 1)),
            sequence: Number(name.slice(1)),
            expiresAtMilliseconds: startMilliseconds + 3_600_000,
            registryVersion: this.registryVersion,
        });
        this.names.set(submission, name);
        return submission;
    }

    public send(entry: string, ...messages: readonly PeerMessage[]): readonly AgentOutput[] {
        return this.accept(this.createBatch(entry, messages));
    }

    public createBatch(entry: string, messages: readonly PeerMessage[]): AgentInput {
        const { configurationVersion } = this;
        const sender = this.identifyEntry(entry);
        return { type: "peerBatch", batch: { sender, role: "entry", configurationVersion, messages } };
    }

    /** Creates the next start message of an entry; the payload of each task is the start sequence. */
    public createStart(entry: string, name: string, indexes: readonly number[], kind = "thirst"): StartTasks {
        const startSequence = this.takeStartSequence(entry);
        return {
            type: "startTasks",
            submission: this.encodeId(name),
            agent: agentIncarnation,
            startSequence,
            team: "gardeners",
            service: "alerts",
            kind,
            deadlineAtMilliseconds: this.clock.nowMilliseconds() + deadlineMilliseconds,
            tasks: indexes.map(index => ({ index, payload: startSequence, expectedMilliseconds: 100 })),
        };
    }

    public startTasks(
        entry: string,
        name: string,
        indexes: readonly number[],
        changes: Partial<StartTasks> = {},
    ): void {
        const message = { ...this.createStart(entry, name, indexes), ...changes };
        this.lastStart = { entry, message };
        this.send(entry, message);
    }

    public takeStartSequence(entry: string): number {
        const next = (this.sequences.get(entry) ?? 0) + 1;
        this.sequences.set(entry, next);
        return next;
    }

    public endTask(name: string, index: number, outcome: TaskOutcome): void {
        this.accept({ type: "taskEnded", submission: this.encodeId(name), index, outcome });
    }

    public listDispatches(): readonly TaskDispatch[] {
        return this.outputs.flatMap(output => output.type === "dispatch" ? [output.task] : []);
    }

    /** Lists the dispatched tasks by submission name and index, such as "A1/0". */
    public listDispatchedTasks(): readonly string[] {
        return this.listDispatches().map(task => `${this.names.get(task.submission) ?? "unnamed"}/${task.index}`);
    }

    public listSent(): readonly SentMessage[] {
        return this.outputs.flatMap(output => output.type === "send" ? [output] : []);
    }

    public listSentTo(entry: string): readonly PeerMessage[] {
        return this.listSent().filter(sent => sent.destination === getEntryAddress(entry)).map(sent => sent.message);
    }

    public listReportsTo(entry: string, name: string, index: number): readonly TaskReportState[] {
        const submission = this.encodeId(name);
        return this.listSentTo(entry)
            .flatMap(message => message.type === "reportTasks" && message.submission === submission ? [message] : [])
            .flatMap(message => message.reports)
            .filter(report => report.index === index)
            .map(report => report.report);
    }

    public listDecisions(): readonly Decision[] {
        return this.outputs.flatMap(output => output.type === "decision" ? [output.decision] : []);
    }
}

export function getEntryAddress(entry: string): string {
    return `127.0.0.1:${7_000 + entry.charCodeAt(0)}`;
}

export function createManifest(version: number, availabilityZones: readonly string[]): VersionedManifest {
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

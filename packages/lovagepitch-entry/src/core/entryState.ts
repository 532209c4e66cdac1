/**
 * Everything an entry knows, shared by its systems.
 */
import type { Decision } from "@lovagepitch/types/decision";
import type { Incarnation, PeerAddress, PeerIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { VersionedManifest } from "@lovagepitch/types/manifest";
import type { AcknowledgeOutcomes, PeerMessage, StartTasks } from "@lovagepitch/types/peerMessage";
import type { Problem, ProblemKind } from "@lovagepitch/types/problem";
import type { Registry } from "@lovagepitch/types/registry";
import type { EntrySettings } from "@lovagepitch/types/settings";
import type { Clock } from "@lovagepitch/utils/clock";
import { PriorityQueue } from "@lovagepitch/utils/priorityQueue";
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import type { SubmissionCodec } from "@lovagepitch/utils/submissionCodec";
import { Table } from "@lovagepitch/utils/table";
import type { CallerKey, RequestId } from "./entryInput.js";
import type { EntryOutput } from "./entryOutput.js";
import type { BidPolicy } from "./policies/bidPolicy.js";
import type { PlacementPolicy } from "./policies/placementPolicy.js";
import type { StartOrderPolicy } from "./policies/startOrderPolicy.js";
import type { AgentRow } from "./tables/agentRow.js";
import type { CollectionRow } from "./tables/collectionRow.js";
import type { ForwardRow } from "./tables/forwardRow.js";
import type { RemovedAgent } from "./tables/removedAgent.js";
import type { SubmissionRow } from "./tables/submissionRow.js";
import type { TaskReference, TaskRow } from "./tables/taskRow.js";
import type { WorkClass } from "./tables/workClass.js";

/** The settings that decisions depend on. */
export type EntryCoreSettings = Pick<
    EntrySettings,
    "availabilityZone" | "maximumAnswerBytes" | "maximumWaitingTasks" | "policy" | "resubmissionWindowMilliseconds"
>;

/** What a core is made of. */
export interface EntryCoreDependencies {
    readonly identity: PeerIdentity;
    readonly settings: EntryCoreSettings;
    readonly codec: SubmissionCodec;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Policies other than those of the settings, for experiments. */
    readonly policies?: Partial<EntryPolicies>;
}

/** The replaceable decisions. */
export interface EntryPolicies {
    readonly startOrder: StartOrderPolicy;
    readonly placement: PlacementPolicy;
    readonly bids: BidPolicy;
}

/** What a timer is for. */
export interface TimerKey {
    readonly purpose: "deadline" | "agent" | "forward" | "collection" | "ledger" | "retention" | "place";
    readonly key: string;
}

/** A key that awaits its claim. */
export interface ClaimRow {
    readonly key: CallerKey;
    readonly submission: SubmissionKey;
    readonly job: JobRequest;
}

/** A bid that an agent holds. */
export interface BidRow {
    readonly waitingTasks: number;
    readonly placedAtMilliseconds: number;
}

/** Counts for metrics. */
export interface EntryCounters {
    readonly refusals: Map<ProblemKind, number>;
    starts: number;
    wastedMessages: number;
}

/** The tables and shared facts of one entry. */
export class EntryState {
    public readonly submissions = new Table<SubmissionKey, SubmissionRow>();
    /** Finished submissions whose outputs are kept, oldest first. */
    public readonly submissionsWithOutputs = new Set<SubmissionKey>();
    /** Tasks of live submissions, by index. */
    public readonly tasks = new Map<SubmissionKey, TaskRow[]>();
    public readonly agents = new Table<PeerAddress, AgentRow>();
    /** Tasks that each agent has been sent and has not finished. */
    public readonly outstandingTasks = new Map<PeerAddress, Map<string, TaskReference>>();
    /** Agents that are gone and whose ledger is being read. */
    public readonly removedAgents = new Table<Incarnation, RemovedAgent>();
    public readonly forwards = new Table<SubmissionKey, ForwardRow>();
    public readonly collections = new Table<SubmissionKey, CollectionRow>();
    public readonly claims = new Table<RequestId, ClaimRow>();
    /** Submissions that callers of this entry wait for. */
    public readonly submissionsByRequest = new Map<RequestId, SubmissionKey>();
    public readonly workClasses = new Map<string, WorkClass>();
    /** Running and sent tasks of each team. */
    public readonly startedTasksByTeam = new Map<string, number>();
    /** Waiting tasks of each team. */
    public readonly waitingTasksByTeam = new Map<string, number>();
    public readonly timers = new PriorityQueue<TimerKey>();
    /** Bids that agents hold, by agent and service. */
    public readonly bids = new Map<PeerAddress, Map<string, BidRow>>();
    /** Slots that the manifest guarantees each team. */
    public readonly guaranteedSlotsByTeam = new Map<string, number>();
    /** Agents whose offers came in this tick. */
    public readonly offeringAgents = new Set<PeerAddress>();
    /** Incarnations that are known to be gone. */
    public readonly unavailableOwners = new Table<Incarnation, number>();
    public readonly counters: EntryCounters = { refusals: new Map(), starts: 0, wastedMessages: 0 };

    public manifest: VersionedManifest | undefined;
    public hasReadRegistry = false;
    public registry: Registry = { version: 0, agents: [], entries: [] };
    /** Entries that the registry lists as serving. */
    public servingEntryCount = 1;
    /** Newest agent registration known, read or announced. */
    public registryVersion = 0;
    public lastIssuedSequence = 0;
    public waitingTasks = 0;
    public answerBytes = 0;
    public isStopping = false;
    /** Set when candidates of work classes must be computed again. */
    public hasStaleCandidates = true;
    public manifestRequestedAtMilliseconds = 0;

    private pendingOutputs: EntryOutput[] = [];
    private pendingStarts = new Map<string, { destination: PeerAddress; message: StartTasks }>();
    private pendingAcknowledgements = new Map<string, { destination: PeerAddress; message: AcknowledgeOutcomes }>();

    /**
     * @param dependencies - what the core is made of
     * @param policies - the decisions to use
     */
    public constructor(public readonly dependencies: EntryCoreDependencies, public readonly policies: EntryPolicies) {}

    /** The current instant, in milliseconds since the epoch. */
    public get now(): number {
        return this.dependencies.clock.nowMilliseconds();
    }

    /** Version of the manifest in force; 0 before there is one. */
    public get configurationVersion(): number {
        return this.manifest?.version ?? 0;
    }

    /**
     * Asks the process to do something.
     *
     * @param output - what to do
     */
    public emit(output: EntryOutput): void {
        this.pendingOutputs.push(output);
    }

    /**
     * Sends a message.
     *
     * @param destination - address of the receiver
     * @param message - the message
     */
    public send(destination: PeerAddress, message: PeerMessage): void {
        this.pendingOutputs.push({ type: "send", destination, message });
    }

    /**
     * Numbers a start; starts of one submission to one agent in one tick share a message and so a number.
     *
     * @param agent - the agent
     * @param submission - the submission
     * @returns the start's sequence
     */
    public getNextStartSequence(agent: AgentRow, submission: SubmissionKey): number {
        const earlier = this.pendingStarts.get(`${agent.address} ${submission}`);
        return earlier?.message.startSequence ?? agent.startSequence + 1;
    }

    /**
     * Sends the start of a task; starts of one submission to one agent in one tick share a message.
     *
     * @param destination - address of the agent
     * @param start - a start of one task
     */
    public queueStart(destination: PeerAddress, start: StartTasks): void {
        const key = `${destination} ${start.submission}`;
        const earlier = this.pendingStarts.get(key);
        const message = earlier === undefined
            ? start
            : { ...start, tasks: [...earlier.message.tasks, ...start.tasks] };
        this.pendingStarts.set(key, { destination, message });
    }

    /**
     * Acknowledges the outcome of a task; those of one submission to one agent in one tick share a message.
     *
     * @param destination - address of the agent
     * @param submission - the submission
     * @param index - the task
     */
    public queueAcknowledgement(destination: PeerAddress, submission: SubmissionKey, index: number): void {
        const key = `${destination} ${submission}`;
        const indexes = this.pendingAcknowledgements.get(key)?.message.indexes ?? [];
        const message = {
            type: "acknowledgeOutcomes" as const,
            submission,
            indexes: [...indexes, index],
            declinedSlots: 0,
        };
        this.pendingAcknowledgements.set(key, { destination, message });
    }

    /**
     * Declines offered slots on an acknowledgement that goes to the agent in this tick anyway.
     *
     * @param destination - address of the agent
     * @param slots - slots to decline
     * @returns false when no acknowledgement goes there
     */
    public tryDeclineWithAcknowledgement(destination: PeerAddress, slots: number): boolean {
        for (const [key, acknowledgement] of this.pendingAcknowledgements) {
            if (acknowledgement.destination === destination) {
                const message = { ...acknowledgement.message, declinedSlots: slots };
                this.pendingAcknowledgements.set(key, { destination, message });
                return true;
            }
        }
        return false;
    }

    /**
     * Logs a decision.
     *
     * @param decision - what was decided
     * @param reason - why
     * @param facts - what it concerns
     */
    public logDecision(
        decision: Decision["decision"],
        reason: string,
        facts: Omit<Decision, "configurationVersion" | "decision" | "reason"> = {},
    ): void {
        this.pendingOutputs.push({
            type: "decision",
            decision: { decision, reason, configurationVersion: this.configurationVersion, ...facts },
        });
    }

    /**
     * Sets a timer.
     *
     * @param atMilliseconds - when it is due, in milliseconds since the epoch
     * @param purpose - what it is for
     * @param key - key of the row it concerns
     */
    public scheduleTimer(atMilliseconds: number, purpose: TimerKey["purpose"], key: string): void {
        this.timers.push(atMilliseconds, { purpose, key });
    }

    /**
     * Issues an id that this entry keeps.
     *
     * @returns the id
     */
    public issueSubmissionKey(): SubmissionKey {
        this.lastIssuedSequence += 1;
        return this.dependencies.codec.encode({
            owner: this.dependencies.identity,
            sequence: this.lastIssuedSequence,
            expiresAtMilliseconds: this.now + this.dependencies.settings.resubmissionWindowMilliseconds,
            registryVersion: this.registryVersion,
        });
    }

    /**
     * Counts tasks that wait, in all and of one team.
     *
     * @param team - name of the team
     * @param change - tasks more or fewer
     */
    public adjustWaitingTasks(team: string, change: number): void {
        this.waitingTasks += change;
        this.waitingTasksByTeam.set(team, Math.max(0, (this.waitingTasksByTeam.get(team) ?? 0) + change));
    }

    /**
     * Counts tasks that agents hold, of one team.
     *
     * @param team - name of the team
     * @param change - tasks more or fewer
     */
    public adjustStartedTasks(team: string, change: number): void {
        this.startedTasksByTeam.set(team, Math.max(0, (this.startedTasksByTeam.get(team) ?? 0) + change));
    }

    /**
     * Makes a refusal and counts it.
     *
     * @param problem - the refusal
     * @returns the refusal
     */
    public recordRefusal(problem: Problem): Problem {
        this.counters.refusals.set(problem.kind, (this.counters.refusals.get(problem.kind) ?? 0) + 1);
        return problem;
    }

    /**
     * Takes what the systems of this tick asked for.
     *
     * @returns the outputs, in order
     */
    public takeOutputs(): readonly EntryOutput[] {
        for (const { destination, message } of this.pendingAcknowledgements.values()) {
            this.send(destination, message);
        }
        for (const { destination, message } of this.pendingStarts.values()) {
            this.send(destination, message);
        }
        this.pendingAcknowledgements = new Map();
        this.pendingStarts = new Map();
        const taken = this.pendingOutputs;
        this.pendingOutputs = [];
        return taken;
    }
}

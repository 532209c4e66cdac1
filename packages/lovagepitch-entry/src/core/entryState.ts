/**
 * State of an entry, shared by the systems of its core.
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

/** Settings that the core reads. */
export type EntryCoreSettings = Pick<
    EntrySettings,
    "availabilityZone" | "maximumAnswerBytes" | "maximumWaitingTasks" | "policy" | "resubmissionWindowMilliseconds"
>;

/** Constructor arguments of the core. */
export interface EntryCoreDependencies {
    readonly identity: PeerIdentity;
    readonly settings: EntryCoreSettings;
    readonly codec: SubmissionCodec;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Policies that replace those that the settings select. */
    readonly policies?: Partial<EntryPolicies>;
}

/** Policies that can be replaced. */
export interface EntryPolicies {
    readonly startOrder: StartOrderPolicy;
    readonly placement: PlacementPolicy;
    readonly bids: BidPolicy;
}

/** Identifies the check that a timer runs and the row that it concerns. */
export interface TimerKey {
    readonly purpose: "deadline" | "agent" | "forward" | "collection" | "ledger" | "retention" | "place";
    readonly key: string;
}

/** A caller's key whose claim in the platform's table is pending. */
export interface ClaimRow {
    readonly key: CallerKey;
    readonly submission: SubmissionKey;
    readonly job: JobRequest;
}

/** A bid for slots that was sent to an agent. */
export interface BidRow {
    readonly waitingTasks: number;
    readonly placedAtMilliseconds: number;
}

/** Totals since the process started, for metrics. */
export interface EntryCounters {
    readonly refusals: Map<ProblemKind, number>;
    starts: number;
    wastedMessages: number;
}

/** Tables, timers and pending outputs of one entry. */
export class EntryState {
    public readonly submissions = new Table<SubmissionKey, SubmissionRow>();
    /** Finished submissions whose task outputs are still in memory, oldest first. */
    public readonly submissionsWithOutputs = new Set<SubmissionKey>();
    /** Tasks of each live submission, by task index. */
    public readonly tasks = new Map<SubmissionKey, TaskRow[]>();
    public readonly agents = new Table<PeerAddress, AgentRow>();
    /** Unfinished tasks that were sent to each agent, by submission and task index. */
    public readonly outstandingTasks = new Map<PeerAddress, Map<string, TaskReference>>();
    /** Removed agents whose ledger is being read. */
    public readonly removedAgents = new Table<Incarnation, RemovedAgent>();
    public readonly forwards = new Table<SubmissionKey, ForwardRow>();
    public readonly collections = new Table<SubmissionKey, CollectionRow>();
    public readonly claims = new Table<RequestId, ClaimRow>();
    /** Submission that each caller's request waits for. */
    public readonly submissionsByRequest = new Map<RequestId, SubmissionKey>();
    public readonly workClasses = new Map<string, WorkClass>();
    /** Tasks of each team that were sent to agents and have not finished. */
    public readonly startedTasksByTeam = new Map<string, number>();
    /** Waiting tasks of each team. */
    public readonly waitingTasksByTeam = new Map<string, number>();
    public readonly timers = new PriorityQueue<TimerKey>();
    /** Current bids, by agent and service. */
    public readonly bids = new Map<PeerAddress, Map<string, BidRow>>();
    /** Slots that the manifest guarantees each team. */
    public readonly guaranteedSlotsByTeam = new Map<string, number>();
    /** Agents that offered slots in this tick. */
    public readonly offeringAgents = new Set<PeerAddress>();
    /** Owner entries that count as unavailable, and until when, in milliseconds since the epoch. */
    public readonly unavailableOwners = new Table<Incarnation, number>();
    public readonly counters: EntryCounters = { refusals: new Map(), starts: 0, wastedMessages: 0 };

    public manifest: VersionedManifest | undefined;
    public hasReadRegistry = false;
    public registry: Registry = { version: 0, agents: [], entries: [] };
    /** Number of entries that the registry lists as serving. */
    public servingEntryCount = 1;
    /** Highest agent registration number that was read from the registry or announced by an agent. */
    public registryVersion = 0;
    public lastIssuedSequence = 0;
    public waitingTasks = 0;
    public answerBytes = 0;
    public isStopping = false;
    /** True when the candidates of the work classes have to be recomputed. */
    public hasStaleCandidates = true;
    public manifestRequestedAtMilliseconds = 0;

    private pendingOutputs: EntryOutput[] = [];
    private pendingStarts = new Map<string, { destination: PeerAddress; message: StartTasks }>();
    private pendingAcknowledgements = new Map<string, { destination: PeerAddress; message: AcknowledgeOutcomes }>();

    /**
     * @param dependencies - identity, settings, clock and other dependencies of the core
     * @param policies - policies for start order, placement and bids
     */
    public constructor(public readonly dependencies: EntryCoreDependencies, public readonly policies: EntryPolicies) {}

    /** Current time, in milliseconds since the epoch. */
    public get now(): number {
        return this.dependencies.clock.nowMilliseconds();
    }

    /** Version of the current manifest; 0 before there is one. */
    public get configurationVersion(): number {
        return this.manifest?.version ?? 0;
    }

    /**
     * Adds an output, which the process performs after the tick.
     *
     * @param output - action to perform
     */
    public emit(output: EntryOutput): void {
        this.pendingOutputs.push(output);
    }

    /**
     * Adds a message to a peer to the outputs.
     *
     * @param destination - address of the receiving peer
     * @param message - message to send
     */
    public send(destination: PeerAddress, message: PeerMessage): void {
        this.pendingOutputs.push({ type: "send", destination, message });
    }

    /**
     * Returns the sequence number of the next start to an agent. Starts of one submission to one agent within a tick
     * share a message, and so a number.
     *
     * @param agent - row of the receiving agent
     * @param submission - id of the submission whose task is started
     * @returns sequence number of the start message
     */
    public getNextStartSequence(agent: AgentRow, submission: SubmissionKey): number {
        const earlier = this.pendingStarts.get(`${agent.address} ${submission}`);
        return earlier?.message.startSequence ?? agent.startSequence + 1;
    }

    /**
     * Queues the start of a task. Starts of one submission to one agent within a tick are sent as one message.
     *
     * @param destination - address of the agent
     * @param start - start message with one task
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
     * Queues the acknowledgement of a task's outcome. Acknowledgements of one submission to one agent within a tick
     * are sent as one message.
     *
     * @param destination - address of the agent
     * @param submission - id of the task's submission
     * @param index - index of the task in its job
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
     * Declines offered slots in an acknowledgement that is queued for the agent, which saves a message.
     *
     * @param destination - address of the agent
     * @param slots - number of slots to decline
     * @returns false when no acknowledgement is queued for the agent
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
     * Adds a decision to the outputs, for the log.
     *
     * @param decision - kind of decision
     * @param reason - why it was made
     * @param facts - submission, task, worker or peer that it concerns
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
     * Schedules a timer.
     *
     * @param atMilliseconds - when it fires, in milliseconds since the epoch
     * @param purpose - check to run
     * @param key - key of the row to check
     */
    public scheduleTimer(atMilliseconds: number, purpose: TimerKey["purpose"], key: string): void {
        this.timers.push(atMilliseconds, { purpose, key });
    }

    /**
     * Issues a submission id that this entry owns.
     *
     * @returns the encoded id
     */
    public issueSubmissionId(): SubmissionKey {
        this.lastIssuedSequence += 1;
        return this.dependencies.codec.encode({
            owner: this.dependencies.identity,
            sequence: this.lastIssuedSequence,
            expiresAtMilliseconds: this.now + this.dependencies.settings.resubmissionWindowMilliseconds,
            registryVersion: this.registryVersion,
        });
    }

    /**
     * Adjusts the number of waiting tasks, in total and of one team.
     *
     * @param team - name of the team
     * @param change - number of added tasks; negative when tasks are removed
     */
    public adjustWaitingTasks(team: string, change: number): void {
        this.waitingTasks += change;
        this.waitingTasksByTeam.set(team, Math.max(0, (this.waitingTasksByTeam.get(team) ?? 0) + change));
    }

    /**
     * Adjusts the number of a team's tasks that agents hold.
     *
     * @param team - name of the team
     * @param change - number of added tasks; negative when tasks are removed
     */
    public adjustStartedTasks(team: string, change: number): void {
        this.startedTasksByTeam.set(team, Math.max(0, (this.startedTasksByTeam.get(team) ?? 0) + change));
    }

    /**
     * Counts a refusal by its kind.
     *
     * @param problem - problem that the caller receives
     * @returns the same problem
     */
    public recordRefusal(problem: Problem): Problem {
        this.counters.refusals.set(problem.kind, (this.counters.refusals.get(problem.kind) ?? 0) + 1);
        return problem;
    }

    /**
     * Removes and returns the outputs of this tick, followed by the queued acknowledgements and starts.
     *
     * @returns outputs in the order in which they are performed
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

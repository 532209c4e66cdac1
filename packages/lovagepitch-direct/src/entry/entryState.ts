/**
 * State of an entry: jobs, placed tasks, agents and pending orders.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import { Table } from "@lovagepitch/utils/table";
import type { DirectJob } from "../model/directJob.js";
import type { DispatchConfiguration } from "../model/dispatchConfiguration.js";
import type { EntryLocation } from "../model/entryLocation.js";
import type { RunIdentity, StartOrder } from "../model/frames.js";
import type { ProcessorTime } from "../model/processorTime.js";
import { type Resources, subtractResources } from "../model/resources.js";
import type { WorkerStatus } from "../model/workerStatus.js";
import { noEvacuations, type ZoneEvacuations } from "../model/zoneEvacuations.js";
import { AnnouncedJobs } from "../policies/announcedJobs.js";
import { CapacitySearch } from "../policies/capacitySearch.js";
import { CrashEvidence } from "../policies/crashEvidence.js";
import { CrashingKinds } from "../policies/crashingKinds.js";
import { CrashRecords } from "../policies/crashRecords.js";
import type { EntryPolicies } from "../policies/entryPolicies.js";
import { JobAnnouncements } from "../policies/jobAnnouncements.js";
import type { JobDeadlines } from "../policies/jobDeadlines.js";
import type { LinkBacklog } from "../policies/linkBacklog.js";
import { OrderedJobs } from "../policies/orderedJobs.js";
import { PriorityRanks } from "../policies/priorityRanks.js";
import { ProcessorLoad } from "../policies/processorLoad.js";
import { ReadDelay } from "../policies/readDelay.js";
import { ReportedCapacities } from "../policies/reportedCapacities.js";
import { DrainRate } from "../policies/retryAfter.js";
import { RoomRate } from "../policies/roomRate.js";
import type { RunTimeDistribution } from "../policies/runTimeDistribution.js";
import type { WorkerHealth } from "../policies/workerHealth.js";
import { WorkerSpeeds } from "../policies/workerSpeeds.js";
import type { EntryOutput } from "./entryPorts.js";
import { FormerRoutes } from "./formerRoutes.js";
import type { ForwardedJob } from "./forwardedJobs.js";
import type { ForwardedRequest, ForwardingClient } from "./forwardingClients.js";
import type { ForwardingLink } from "./forwardingLinks.js";
import type { HeldJob } from "./heldJobs.js";
import type { Inquiry } from "./jobInquiries.js";

/** A job that has not been answered. */
export interface JobRow {
    readonly job: DirectJob;
    /** Unique in this process; tells runs of this submission from those of earlier ones of the same job. */
    readonly submission: number;
    /** Earliest instant at which the latest submission may have been sent. */
    readonly submittedAt: number;
    /** Number of the latest submission that this row serves; higher than `submission` when the job was submitted again. */
    readonly latestSubmission: number;
    /** Ids of the requests that wait for its answer; more than one when the job was submitted again. */
    readonly requests: readonly number[];
    readonly acceptedAt: number;
    readonly deadlines: JobDeadlines;
    /** Positions of the tasks that wait to be placed. */
    readonly waitingTasks: readonly number[];
    /** Number of runs that were ordered and have not ended. */
    readonly openRuns: number;
    /** True once a run that had started has ended. */
    readonly hasEndedRun: boolean;
    readonly succeededTasks: number;
    /** Incarnations of the agents on which a run of the job failed. */
    readonly failedOn: readonly string[];
}

/** A task with a run that was ordered and has not ended. */
export interface PlacedTask {
    readonly identity: RunIdentity;
    readonly agent: string;
    readonly needs: Resources;
    readonly placedAt: number;
}

/** Earlier runs of a task, which affect its next placement. */
export interface TaskHistory {
    /** Number of the latest run; 1 for the first. */
    readonly latestRun: number;
    readonly failures: number;
    /** True once a run of the task has stalled. */
    readonly hasStalled: boolean;
    /** Incarnations of agents on which a run of the task started and did not succeed. */
    readonly avoidedAgents: readonly string[];
}

/** One incarnation of an agent. */
export interface AgentRow {
    readonly agent: string;
    readonly instance: string;
    readonly availabilityZone: string;
    /** Undefined while it is not connected. */
    readonly connection: number | undefined;
    readonly lastFrameReceivedAt: number;
    /** `sentAt` of its newest frame, on the agent's monotonic clock. */
    readonly newestSentAt: number;
    readonly worker: WorkerStatus | undefined;
    /** Sequence number of the latest frame sent to the agent. */
    readonly lastSentSequence: number;
    /** Start orders that the agent's latest report of free resources does not reflect yet. */
    readonly unacknowledgedStarts: readonly { readonly sequence: number; readonly needs: Resources }[];
    readonly health: WorkerHealth;
    /** Newest version that the agent has named. */
    readonly configurationVersion: number;
    /** Evacuated zones that the agent has named or was sent on this connection. */
    readonly evacuations: ZoneEvacuations;
    /** True while the agent needs this entry's configuration for another entry. */
    readonly wantsConfiguration: boolean;
    /** Value of `knownEntriesRevision` at the latest frame with addresses of entries to this connection. */
    readonly sentEntriesRevision: number;
    /** Revision of the known crashes at the latest frame to the agent on this connection. */
    readonly sentCrashRevision: number;
    /** True when the latest frame to the agent said that tasks wait for capacity. */
    readonly knowsOfWaitingTasks: boolean;
    readonly lastFrameSentAt: number;
    readonly openRunCount: number;
}

/** Orders to be sent with the next frame to an agent. */
export interface PendingOrders {
    readonly starts: StartOrder[];
    readonly stops: RunIdentity[];
    /** Entries that the agent is asked to connect to. */
    readonly invitations: EntryLocation[];
}

/** Identity of the entry's own process. */
export interface EntryIdentity {
    /** Unique to one start of the process. */
    readonly incarnation: string;
    readonly instance: string;
    readonly availabilityZone: string;
    /** Host and port at which the entry listens for agents. */
    readonly address: string;
}

/** Mutable state of an entry, shared by its systems. */
export class EntryState {
    public readonly jobs = new Table<string, JobRow>();
    /** Placed tasks by run key. */
    public readonly placedTasks = new Table<string, PlacedTask>();
    /** Histories by task key, only of jobs in `jobs`. */
    public readonly taskHistories = new Table<string, TaskHistory>();
    /** Keys of runs of ended submissions that may still be running, by job; no task of the job starts until they have ended. */
    public readonly stoppingRuns = new Table<string, ReadonlySet<string>>();
    /** Jobs whose earlier submissions may have started tasks. */
    public readonly orderedJobs = new OrderedJobs();
    public readonly jobAnnouncements = new JobAnnouncements();
    /** Jobs that other entries have announced. */
    public readonly announcedJobs = new AnnouncedJobs();
    /** Open jobs of which no task is placed until other entries have released them, by id. */
    public readonly heldJobs = new Map<string, HeldJob>();
    /** Jobs that this entry has passed on, by id. */
    public readonly forwardedJobs = new Map<string, ForwardedJob>();
    /** Connections to entries that jobs are passed on to, by address. */
    public readonly forwardingLinks = new Map<string, ForwardingLink>();
    /** When jobs may be passed on to an entry again, by address. */
    public readonly forwardingRetryAt = new Map<string, number>();
    /** Connections of entries that pass jobs on to this one, by id. */
    public readonly forwardingClients = new Map<number, ForwardingClient>();
    /** Open requests of these entries, by the negative ids that they have in this one. */
    public readonly forwardedRequests = new Map<number, ForwardedRequest>();
    /** Jobs that other entries are asked for. */
    public readonly inquiries = new Map<string, Inquiry>();
    /** Since when entries have left inquiries unanswered, by address, unless another message of theirs has arrived. */
    public readonly silentSince = new Map<string, number>();
    /** Until then other entries are asked for each new job, because their announcements may have been missed. */
    public inquiresUntil = Number.NEGATIVE_INFINITY;
    /** Since when datagrams that have arrived may not have been read; undefined when all have. */
    public datagramsUnreadSince: number | undefined;
    /** True once an agent has been heard. */
    public hasHeardAgent = false;
    /** Instants of cancellations of jobs that were not open, by id of the job, while requests are read late. */
    public readonly earlyCancellations = new Map<string, number>();
    public readonly processorLoad: ProcessorLoad;
    /** How long requests may have waited until the process has read them. */
    public readonly readDelay = new ReadDelay();
    /** Latest instant at which the next tick is due; undefined before the first one. */
    public wakeAt: number | undefined;
    public readonly agents = new Table<string, AgentRow>();
    public readonly pendingOrders = new Map<string, PendingOrders>();
    /** All entries of the deployment that are known, by address. */
    public readonly knownEntries = new Table<string, EntryLocation>();
    /** Increases with each change of `knownEntries`. */
    public knownEntriesRevision = 1;
    public readonly capacitySearch = new CapacitySearch();
    /** When an agent was last invited for an entry, by agent and address of that entry. */
    public readonly invitedAt = new Map<string, number>();
    /** Number of tasks that the latest placement could not place. */
    public unplacedTasks = 0;
    /** Number of tasks that the latest placement did not place because the entry's link is full. */
    public heldTasks = 0;
    /** State of the link according to the latest log line about it. */
    public isLinkReportedShort = false;
    public linkReportedAt = Number.NEGATIVE_INFINITY;
    public readonly formerRoutes = new FormerRoutes();
    /** Instant at which an agent first named a newer configuration than the one in force. */
    public newerConfigurationSince: number | undefined;
    public configurationRequestedAt = Number.NEGATIVE_INFINITY;
    /** Rate at which work ends, in core-milliseconds per millisecond. */
    public readonly drainRate: DrainRate;
    public readonly priorityRanks = new PriorityRanks();
    /** Rate at which the entry gets room while jobs wait. */
    public readonly roomRate = new RoomRate();
    /** Run time distributions by route name. */
    public readonly runTimes = new Map<string, RunTimeDistribution>();
    public readonly workerSpeeds = new WorkerSpeeds();
    /** Capacity of each worker as it last reported it, by instance, for an agent that restarts. */
    public readonly reportedCapacities = new ReportedCapacities();
    public readonly crashRecords = new CrashRecords();
    public readonly crashEvidence = new CrashEvidence();
    public readonly crashingKinds = new CrashingKinds();
    /** Job that runs alone on a worker by order of this entry, or that several such jobs share it, by agent. */
    public readonly isolatedJobs = new Map<string, string>();
    public configuration: DispatchConfiguration | undefined;
    /** Evacuated zones in force. */
    public evacuations: ZoneEvacuations = noEvacuations;
    public isShuttingDown = false;
    /** True when something has changed that may let a waiting task be placed. */
    public isPlacementDue = false;
    public lastPlacementAt = 0;
    /** Start of the latest tick, in monotonic milliseconds; undefined before the first one. */
    public lastTickAt: number | undefined;
    /** No task is placed before this instant, because the process was paused. */
    public placesFrom = Number.NEGATIVE_INFINITY;
    /** True while no agent is heard that accepts tasks; the entry may be cut off. */
    public isCutOff = true;
    /** Until this instant the silence of other entries says nothing, because the entry was cut off. */
    public listensUntil = Number.NEGATIVE_INFINITY;
    /** Value of `knownEntriesRevision` when the entry last told the others that it is there. */
    public announcedRevision = 1;
    public readonly outputs: EntryOutput[] = [];
    private submissionCount = 0;
    private forwardedRequestCount = 0;
    /** Instant that counts in the tick that runs; undefined between ticks. */
    private tickInstant: number | undefined;

    /**
     * @param identity - incarnation, instance and availability zone of the process
     * @param clock - monotonic clock
     * @param random - source of random bonuses in the choice of workers
     * @param policies - policies that the entry decides with
     * @param processorTime - time for which the process has run
     */
    public constructor(
        public readonly identity: EntryIdentity,
        public readonly clock: Clock,
        public readonly random: RandomSource,
        public readonly policies: EntryPolicies,
        processorTime: ProcessorTime,
    ) {
        this.processorLoad = new ProcessorLoad(processorTime);
        this.drainRate = new DrainRate(clock.nowMilliseconds());
    }

    /** Bound on the start orders in flight. */
    public get linkBacklog(): LinkBacklog {
        return this.policies.linkBacklog;
    }

    /**
     * Numbers a submission.
     *
     * @returns a number that this process has not used before
     */
    public takeSubmissionNumber(): number {
        this.submissionCount += 1;
        return this.submissionCount;
    }

    /**
     * Numbers a request that another entry has passed on.
     *
     * @returns a negative id, which no request of a caller has
     */
    public takeForwardedRequestNumber(): number {
        this.forwardedRequestCount += 1;
        return -this.forwardedRequestCount;
    }

    /**
     * Current monotonic time, in milliseconds. Within a tick it is the one of the latest call of `readClock`, as each reading costs
     * more than most decisions that need it.
     */
    public get now(): number {
        return this.tickInstant ?? this.clock.nowMilliseconds();
    }

    /** Sets the instant that counts for the decisions that follow in the tick. */
    public readClock(): void {
        this.tickInstant = this.clock.nowMilliseconds();
    }

    /** Ends the tick. */
    public endTick(): void {
        this.tickInstant = undefined;
    }

    /**
     * Returns the orders for an agent's next frame and creates them if there are none.
     *
     * @param agent - incarnation of the agent
     * @returns the pending orders, which the caller may extend
     */
    public getPendingOrders(agent: string): PendingOrders {
        let orders = this.pendingOrders.get(agent);
        if (orders === undefined) {
            orders = { starts: [], stops: [], invitations: [] };
            this.pendingOrders.set(agent, orders);
        }
        return orders;
    }

    /**
     * Emits a log line.
     *
     * @param level - severity
     * @param event - message, which is also the event that the metrics count
     * @param fields - structured values that explain the event
     */
    public log(level: "info" | "warn", event: string, fields: Readonly<Record<string, unknown>>): void {
        this.outputs.push({ kind: "log", level, event, fields });
    }
}

/**
 * Tells whether a task of a job may have started; such a job is never refused.
 *
 * @param row - row of the job
 * @returns false when it is certain that no task has started or can start
 */
export function mayHaveStarted(row: JobRow): boolean {
    return row.hasEndedRun || row.openRuns > 0;
}

/**
 * Computes the resources of an agent's worker that are available for new tasks.
 *
 * @param row - row of the agent
 * @returns reported free resources minus those of queued orders and of starts that the report does not reflect yet;
 *   undefined when no worker is reported
 */
export function computeAvailableResources(row: AgentRow): Resources | undefined {
    if (row.worker === undefined) {
        return undefined;
    }
    return row.unacknowledgedStarts.reduce(
        (rest, start) => subtractResources(rest, start.needs),
        subtractResources(row.worker.free, row.worker.awaited),
    );
}

/**
 * Estimates the work of tasks.
 *
 * @param job - job of the tasks
 * @param taskCount - number of tasks
 * @returns core-milliseconds
 */
export function estimateWork(job: DirectJob, taskCount: number): number {
    return taskCount * job.estimatedMilliseconds * job.needs.milliCores / 1000;
}

/**
 * Formats the map key of a task.
 *
 * @param job - id of the job
 * @param task - position of the task in its job
 * @returns a string that is unique to the task
 */
export function formatTaskKey(job: string, task: number): string {
    return `${job}/${task}`;
}

/**
 * State of an agent: its worker, runs, queued orders and connections to entries.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import { Table } from "@lovagepitch/utils/table";
import type { DispatchConfiguration } from "../model/dispatchConfiguration.js";
import { type EndedRun, formatRunKey, type RunIdentity, type StartOrder } from "../model/frames.js";
import { addResources, noResources, type Resources, subtractResources } from "../model/resources.js";
import type { CrashedRun } from "../model/workerCrash.js";
import type { WorkerReport } from "../model/workerStatus.js";
import { noEvacuations, type ZoneEvacuations } from "../model/zoneEvacuations.js";
import { AnswerTime } from "../policies/answerTime.js";
import { CrashRecords } from "../policies/crashRecords.js";
import type { PartnerCandidate } from "../policies/partnerChoice.js";
import { PendingStarts } from "../policies/pendingStarts.js";
import { RunSpeed } from "../policies/runSpeed.js";
import { initialWorkerHealth, type WorkerHealth } from "../policies/workerHealth.js";
import type { AgentOutput, WorkerRun } from "./agentPorts.js";
import { hashIncarnation } from "./epochs.js";
import { RunNumbers } from "./runNumbers.js";
import { RunTable } from "./runTable.js";

/** A run that occupies or may occupy the worker. */
export interface RunRow {
    /** The run as its entry knows it. */
    readonly identity: RunIdentity;
    readonly workerRun: WorkerRun;
    /** Undefined for a run that this process did not start but found at the worker. */
    readonly order: StartOrder | undefined;
    /** Incarnation of the entry that ordered the run; undefined for a run that was found at the worker. */
    readonly entry: string | undefined;
    readonly state:
        /** The start order has not been sent, because the worker has not answered enough of the earlier ones. */
        | "pending"
        /** The start order was sent and has not been answered yet. */
        | "starting"
        /**
         * The answer to the start order is lost or late; the next view shows whether the worker has accepted the order.
         */
        | "unanswered"
        | "running"
        /** A stop order is due or was sent; it is resent until the worker answers or the run is known to have ended. */
        | "stopping"
        /** The worker has confirmed the stop; the run has ended once a later view does not list it. */
        | "stopped";
    /** When the start order was first sent or, while it is pending, accepted. */
    readonly orderedAt: number;
    /** When the latest start or stop order for the run was sent. */
    readonly lastOrderSentAt: number;
    /** Number of times that the start order was sent. */
    readonly startAttempts: number;
    /** Number of start orders that have timed out. */
    readonly unansweredAttempts: number;
    /** Epoch of the latest start order; the worker does not execute it once it has seen a higher one. */
    readonly startEpoch: number;
    /** Number of stop orders sent since the run was last to be stopped. */
    readonly stopAttempts: number;
    /** When the next stop order is due. */
    readonly nextStopAt: number;
    /** True while a stop order has neither been answered nor timed out. */
    readonly isStopInFlight: boolean;
    /** Number of the first view call that reflects the worker's answer to the latest start or stop order. */
    readonly visibleFromCall: number;
    /** When the agent learned that the worker has accepted the start. */
    readonly runningSince: number;
    readonly percent: number;
    readonly percentChangedAt: number;
    /**
     * Since when the run has to end because its entry has asked for that or the entry's lease has expired; the entry does
     * not wait for the end for ever. Undefined while the run may go on.
     */
    readonly mustEndSince: number | undefined;
    /** End that is reported to the entry when the worker reports the run as stopped. */
    readonly stopReason: "stopped" | "stalled" | "moved" | "not-started";
}

/** An ended run, and when it ended. */
export interface RecentEnd extends EndedRun {
    readonly endedAt: number;
}

/** A start order that waits at the agent for free capacity. */
export interface QueuedOrder {
    readonly order: StartOrder;
    readonly entry: string;
    readonly receivedAt: number;
    /** The order is returned to its entry if it has not started by this instant. */
    readonly expiresAt: number;
}

/** An entry of the deployment, whether or not the agent is connected to it. */
export interface KnownEntry extends PartnerCandidate {
    /** Since when connections to it have failed or been silent; undefined while there is no sign of that. */
    readonly unreachableSince: number | undefined;
}

/** An entry that the agent is connected to or tries to connect to. */
export interface EntryRow {
    readonly address: string;
    /** A partner is connected all the time, a temporary entry while it uses the worker. */
    readonly role: "partner" | "temporary";
    /** Since when the entry is told that the worker accepts no tasks, so that its connection can be closed. */
    readonly retiringSince: number | undefined;
    /** When the entry last ordered a start, or became temporary. */
    readonly lastUsedAt: number;
    readonly connection: "open" | "opening" | "closed";
    /** Incarnation of the entry's process; undefined until a frame has been received. */
    readonly incarnation: string | undefined;
    /** Instant at which the lease of the entry's runs was last renewed. */
    readonly leaseRenewedAt: number;
    /** When the latest frame was received or, before the first one, the connection was opened or attempted. */
    readonly lastActivityAt: number;
    /** Sequence number of the latest frame received on this connection; 0 before the first one. */
    readonly includedSequence: number;
    /** True once the agent has sent its first frame on this connection. */
    readonly hasSentFirstFrame: boolean;
    readonly configurationVersion: number;
    /** Evacuated zones that the entry has named or was sent on this connection. */
    readonly evacuations: ZoneEvacuations;
    /** Revision of the known crashes at the latest frame to the entry on this connection. */
    readonly sentCrashRevision: number;
    /** True from the entry's request for a newer configuration until it is sent. */
    readonly wantsConfiguration: boolean;
    /** True while the entry has tasks that wait for capacity. */
    readonly awaitsCapacity: boolean;
    readonly retryAt: number;
    readonly pendingEnds: readonly EndedRun[];
    /** True when the agent's state has changed since the latest frame to the entry. */
    readonly hasPendingUpdate: boolean;
}

/** View calls that are refused because no process seems to listen at the worker's address. */
export interface WorkerRefusal {
    /** When the first of them was refused. */
    readonly since: number;
    /** Runs that were on the worker then. */
    readonly runs: readonly CrashedRun[];
    /** False when a later call failed in another way, so that the worker may have been reachable in between. */
    readonly isUnbroken: boolean;
}

/** The current incarnation of the worker. */
export interface WorkerRow {
    readonly report: WorkerReport;
    /** Unique among the incarnations that this agent has known, also when the worker keeps its id. */
    readonly life: number;
    /** True when the agent has known an earlier incarnation with this id; orders for that one may still be under way. */
    readonly isLaterLife: boolean;
    /**
     * False when only an answer of the worker has shown that it has started again; `report` then has the properties of
     * the former incarnation, and the worker gets no tasks.
     */
    readonly hasReported: boolean;
    /** True until the worker reports, when its properties are those that an earlier process has recorded. */
    readonly isRestored: boolean;
    /**
     * Worker's clock, in milliseconds, when it sent the report that has its capacity; undefined while only a record names the
     * capacity, which may have changed since.
     */
    readonly capacityReportedAt: number | undefined;
    /** Earliest end of a draining worker; undefined when it is not draining or has not reported the end. */
    readonly endsAt: number | undefined;
    /**
     * Sent with each order; the worker rejects orders with a lower epoch, which an earlier process of this agent sent.
     */
    readonly epoch: number;
    /**
     * Highest epoch with which the worker has answered a view call. Calls with a lower one take no effect any more,
     * whenever they are executed.
     */
    readonly confirmedEpoch: number;
    /** When this process last raised the epoch itself. */
    readonly epochRaisedAt: number;
    /** Number of times that another process has excluded this one after the worker had answered its view calls. */
    readonly timesReplaced: number;
    /** True when a call with the current epoch that extends the lease got no answer; it may still be executed. */
    readonly hasLateCall: boolean;
    /** True while the epoch is not derived from the worker's clock, because the worker has not reported yet. */
    readonly needsEpoch: boolean;
    /** True once the worker has answered a view call as this incarnation, until it has seen an epoch of another process. */
    readonly isConfirmed: boolean;
    /** Worker's clock minus the agent's clock, in milliseconds. */
    readonly clockOffset: number;
    readonly acknowledgedEndSequence: number;
    /**
     * When the latest view call that extends the lease was sent; later when a start order has extended the lease beyond
     * that of the call.
     */
    readonly leaseExtensionSentAt: number;
    /** Number of that call; 0 before the first one. */
    readonly leaseExtensionCall: number;
    readonly lastAnsweredAt: number;
    /** Number of latest view calls without an answer. */
    readonly missedViews: number;
    /** False from consecutive view calls without an answer until the next answered one. */
    readonly isResponsive: boolean;
    /** Refused view calls since the worker last answered; undefined when there was none, or another failure since. */
    readonly refusal: WorkerRefusal | undefined;
    /** True once the worker has announced its end; what runs there ends with it. */
    readonly hasLeft: boolean;
    readonly callInFlight: number | undefined;
    readonly nextCallAt: number;
}

/** Identity of the agent's own process. */
export interface AgentIdentity {
    /** Unique to one start of the process. */
    readonly incarnation: string;
    readonly instance: string;
    readonly availabilityZone: string;
}

/** Mutable state of an agent, shared by its systems. */
export class AgentState {
    /** Runs by the key of their number at the worker. */
    public readonly runs = new RunTable();
    /** Runs whose start order has not been sent. */
    public readonly pendingStarts = new PendingStarts();
    /** Number of start orders that have neither been answered nor timed out. */
    public startsInFlight = 0;
    /** Number of stop orders that have neither been answered nor timed out. */
    public stopsInFlight = 0;
    /** Source of the jitter of repeated orders. */
    public readonly random: RandomSource;
    public readonly runNumbers = new RunNumbers();
    /** Queued orders by entry and run. */
    public readonly queuedOrders = new Table<string, QueuedOrder>();
    public readonly knownEntries = new Table<string, KnownEntry>();
    public readonly entries = new Table<string, EntryRow>();
    /** Next instant at which the partners are chosen again, in milliseconds. */
    public nextPartnerChoiceAt = 0;
    /** Ended runs that their entry has not confirmed, by incarnation of the entry, for an entry that reconnects. */
    public readonly recentEnds = new Table<string, readonly RecentEnd[]>();
    /** Crashes of this worker and of others that entries have passed on. */
    public readonly crashRecords = new CrashRecords();
    /** Revision of the known crashes at the latest news of this worker's crash, which entries are sent at once. */
    public ownCrashRevision = 0;
    public worker: WorkerRow | undefined;
    /**
     * Latest report of a different incarnation of the worker; it takes effect when the current incarnation has ended.
     */
    public pendingReport: WorkerReport | undefined;
    /** Latest report with other properties than the known ones, if no other report of the worker has come since. */
    public contestedReport: WorkerReport | undefined;
    /** Newest configuration that an entry has sent; it is requested only for an entry that cannot reach the store. */
    public configuration: DispatchConfiguration | undefined;
    /** Newest version that an entry has named. */
    public configurationVersion = 0;
    public configurationRequestedAt = Number.NEGATIVE_INFINITY;
    /** Evacuated zones in force. */
    public evacuations: ZoneEvacuations = noEvacuations;
    /** Capacity of the worker in the latest record for a restarted process, and when that was written. */
    public recordedCapacity: { readonly capacity: Resources; readonly at: number } | undefined;
    public isShuttingDown = false;
    public hasStopped = false;
    public nextCall = 1;
    public nextLife = 1;
    public health: WorkerHealth = initialWorkerHealth;
    /** Speed of the current incarnation of the worker. */
    public runSpeed = new RunSpeed();
    /** Answer times of the worker's start orders. */
    public readonly answerTime = new AnswerTime();
    /** Instant of the latest view call without an answer of a worker that has answered since. */
    public viewMissedAt = Number.NEGATIVE_INFINITY;
    /** Instant of the latest view whose progress was checked for stalls. */
    public progressCheckedAt = 0;
    /**
     * Instant of the latest view at which the worker's speed was measured; `percentsAtMeasurement` is the progress
     * then.
     */
    public speedMeasuredAt = 0;
    public percentsAtMeasurement: ReadonlyMap<string, number> = new Map();
    public readonly outputs: AgentOutput[] = [];
    private reserved: Resources = noResources;
    /** Instant of the tick that runs; undefined between ticks. */
    private tickInstant: number | undefined;

    /**
     * @param identity - incarnation, instance and availability zone of the process
     * @param clock - monotonic clock
     * @param reportIntervalMilliseconds - time between two reports of the worker; undefined when it is not known
     */
    public constructor(
        public readonly identity: AgentIdentity,
        public readonly clock: Clock,
        public readonly reportIntervalMilliseconds: number | undefined,
    ) {
        this.random = new RandomSource(hashIncarnation(identity.incarnation));
    }

    /**
     * Current monotonic time, in milliseconds. It is the same within one tick: if the process is paused between a check and
     * the order that follows from it, the order still counts its time limit from the instant of the check.
     */
    public get now(): number {
        return this.tickInstant ?? this.clock.nowMilliseconds();
    }

    /** Begins a tick. */
    public beginTick(): void {
        this.tickInstant = this.clock.nowMilliseconds();
    }

    /** Ends the tick. */
    public endTick(): void {
        this.tickInstant = undefined;
    }

    /** Capacity of the worker that no run occupies. */
    public get free(): Resources {
        return subtractResources(this.worker?.report.capacity ?? noResources, this.reserved);
    }

    /**
     * Lists the entries that have runs or queued orders at this agent.
     *
     * @returns incarnations of the entries
     */
    public listUsingEntries(): ReadonlySet<string> {
        const using = new Set<string>();
        for (const { entry } of this.runs.values()) {
            if (entry !== undefined) {
                using.add(entry);
            }
        }
        for (const { entry } of this.queuedOrders.values()) {
            using.add(entry);
        }
        return using;
    }

    /**
     * Adds a run and reserves its resources.
     *
     * @param row - row of the new run
     */
    public addRun(row: RunRow): void {
        this.runs.set(formatRunKey(row.workerRun), row);
        this.reserved = addResources(this.reserved, row.order?.needs ?? noResources);
        this.markUpdatePending();
    }

    /**
     * Removes a run and frees its resources.
     *
     * @param row - row of the ended run
     */
    public removeRun(row: RunRow): void {
        const key = formatRunKey(row.workerRun);
        this.pendingStarts.remove(key);
        if (this.runs.delete(key)) {
            this.reserved = subtractResources(this.reserved, row.order?.needs ?? noResources);
            this.markUpdatePending();
        }
    }

    /**
     * Updates the worker's health and logs a new pause.
     *
     * @param health - health of the worker after its latest run
     */
    public updateHealth(health: WorkerHealth): void {
        if (health === this.health) {
            return;
        }
        if (health.pausedUntil > this.health.pausedUntil) {
            this.log("warn", "worker paused", { pauseMilliseconds: health.pauseMilliseconds });
        }
        this.health = health;
        this.markUpdatePending();
    }

    /** Marks every entry as due for a frame with the current state. */
    public markUpdatePending(): void {
        for (const row of this.entries.values()) {
            if (!row.hasPendingUpdate) {
                this.entries.set(row.address, { ...row, hasPendingUpdate: true });
            }
        }
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

/**
 * Record of an agent's worker in the store. A worker reports only every second or so; an agent that restarts while its
 * worker keeps running reads the record and uses the worker at once, instead of waiting for the next report.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import { setTimeout as delay } from "node:timers/promises";
import type { Resources } from "../model/resources.js";
import { limitLabels } from "../model/workerLabels.js";
import type { WorkerRegistration } from "../model/workerStatus.js";
import { OddRows } from "./oddRows.js";
import type { SharedRows, VersionedRow } from "./sharedRows.js";
import type { StoreReachability } from "./storeReachability.js";

/** Name of the table that holds the workers, by the name of their agent's instance. */
export const workersTable = "lovagepitch-workers";

/** Delay after a failed call, in milliseconds. */
const retryDelayMilliseconds = 300;

/**
 * Longest random delay before a new worker is recorded, in milliseconds, so that the agents of a deployment that starts
 * do not write at the same time. A worker that must not be used again is removed without this delay.
 */
const maximumRecordDelayMilliseconds = 2000;

/** Value of the row of an agent whose worker must not be restored. */
const noWorker = {};

/** Reads and maintains the row of one agent's worker. */
export class WorkerDirectory {
    /** Row as last read or written; undefined before the first read. */
    private row: VersionedRow | undefined;
    /** Worker to record; undefined when no worker may be restored. */
    private current: WorkerRegistration | undefined;
    /** True while an earlier write without an answer may still take effect. */
    private hasUncertainWrite = false;
    private isWriting = false;
    /** True once a worker was recorded; a later one is written without delay, because its capacity may have shrunk. */
    private hasRecorded = false;

    /**
     * @param rows - rows of the store
     * @param instance - name of the agent's instance
     * @param clock - monotonic clock
     * @param reachability - records whether the store answers
     * @param random - source of the delay before a new worker is recorded
     * @param oddRows - logs a row that no agent has written
     */
    public constructor(
        private readonly rows: SharedRows,
        private readonly instance: string,
        private readonly clock: Clock,
        private readonly reachability: StoreReachability,
        private readonly random: RandomSource,
        private readonly oddRows: OddRows = new OddRows({ write: () => undefined }),
    ) {}

    /**
     * Reads the worker that an earlier process has recorded. If the store does not answer, no worker is restored, and
     * the agent waits for the worker's next report.
     *
     * @returns the recorded worker, or undefined when there is none
     */
    public async readRecorded(): Promise<WorkerRegistration | undefined> {
        const row = await this.readOwn();
        const registration = decodeRegistration(row?.value);
        if (registration === undefined && row !== undefined && row.version > 0 && !isEmpty(row.value)) {
            this.oddRows.record(workersTable, this.instance);
        }
        return registration;
    }

    /**
     * Records the worker for a later process of the agent, and retries until the store has it.
     *
     * @param registration - current worker; undefined when no worker may be restored
     */
    public record(registration: WorkerRegistration | undefined): void {
        this.current = registration;
        if (!this.isWriting) {
            this.isWriting = true;
            void this.writeCurrent().catch((error: unknown) => {
                this.isWriting = false;
                this.reachability.recordOutcome(false, `the worker was not recorded: ${String(error)}`);
            });
        }
    }

    private async writeCurrent(): Promise<void> {
        const writeAt = this.clock.nowMilliseconds() + this.random.nextFraction() * maximumRecordDelayMilliseconds;
        while (!this.hasRecorded && this.current !== undefined && this.clock.nowMilliseconds() < writeAt) {
            await delay(retryDelayMilliseconds);
        }
        for (;;) {
            const written = this.current;
            const isWritten = await this.tryWrite(written);
            if (isWritten && written === this.current) {
                break;
            }
            if (!isWritten) {
                await delay(retryDelayMilliseconds);
            }
        }
        this.isWriting = false;
        this.hasRecorded = true;
    }

    /** Writes the row unless it is known to have the value; returns true when it has. */
    private async tryWrite(registration: WorkerRegistration | undefined): Promise<boolean> {
        const row = this.row ?? await this.readOwn();
        if (row === undefined) {
            return false;
        }
        const value = registration ?? noWorker;
        // A row that does not exist is written too: a delayed write that expects none would otherwise take effect. Values of other
        // writers are compared as far as they can be decoded; nested too deeply, they can't be serialized.
        const isCurrent = row.version > 0
            && JSON.stringify(decodeRegistration(row.value) ?? noWorker) === JSON.stringify(value)
            && (registration !== undefined || isEmpty(row.value));
        if (isCurrent && !this.hasUncertainWrite) {
            return true;
        }
        const result = await this.rows.replace(workersTable, this.instance, value, row.version);
        if (result.err) {
            const isConflict = result.val.kind === "conflict";
            this.row = undefined;
            this.hasUncertainWrite ||= !isConflict;
            this.reachability.recordOutcome(isConflict, result.val.message);
            return false;
        }
        this.row = { value, version: result.val };
        this.hasUncertainWrite = false;
        return true;
    }

    private async readOwn(): Promise<VersionedRow | undefined> {
        const result = await this.rows.readRow(workersTable, this.instance);
        if (result.err) {
            this.reachability.recordOutcome(false, result.val.message);
            return undefined;
        }
        this.reachability.recordOutcome(true, "the recorded worker was read");
        this.row = result.val;
        return result.val;
    }
}

/**
 * Decodes the row of a worker.
 *
 * @param value - decoded value of the row; any JSON value, because other writers may have written it
 * @returns the registration, or undefined when the row names no worker
 */
export function decodeRegistration(value: unknown): WorkerRegistration | undefined {
    const row = value as { readonly [Name in keyof WorkerRegistration]?: unknown } | null | undefined;
    if (
        typeof row?.id !== "string" || typeof row.service !== "string" || !Array.isArray(row.labels)
        || !row.labels.every(label => typeof label === "string") || !isCapacity(row.capacity) || !isStart(row.startedAt)
    ) {
        return undefined;
    }
    const { milliCores, memoryMegabytes, accelerators } = row.capacity;
    return {
        id: row.id,
        ...row.startedAt === undefined ? {} : { startedAt: row.startedAt },
        service: row.service,
        capacity: { milliCores, memoryMegabytes, accelerators },
        labels: limitLabels(row.labels),
    };
}

/** Tells whether a value is a capacity that a worker can have. */
function isCapacity(value: unknown): value is Resources {
    const capacity = value as { readonly [Name in keyof Resources]?: unknown } | null | undefined;
    return [capacity?.milliCores, capacity?.memoryMegabytes, capacity?.accelerators].every(amount => {
        return typeof amount === "number" && amount >= 0 && amount <= Number.MAX_SAFE_INTEGER;
    });
}

/** Tells whether a row says that no worker may be restored. */
function isEmpty(value: unknown): boolean {
    return typeof value === "object" && value !== null && !Array.isArray(value) && Object.keys(value).length === 0;
}

/** Tells whether a value is the start of a worker in Unix milliseconds, or missing. */
function isStart(value: unknown): value is number | undefined {
    return value === undefined || (typeof value === "number" && Number.isSafeInteger(value) && value >= 0);
}

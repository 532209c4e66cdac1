/**
 * Performs the graceful shutdown of an entry.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import type { DirectEntry } from "./directEntry.js";
import { findShutdownPhase } from "./shutdownPhase.js";

/** Interval at which the phase is checked, in milliseconds. */
const checkIntervalMilliseconds = 50;

/** Operations on callers' connections that a graceful shutdown needs. */
export interface CallerConnections {
    readonly openConnections: number;
    /** Makes every response close its connection from now on. */
    closeConnections(): void;
    /** Closes connections on which no request is open. */
    closeIdleConnections(): void;
}

/** Graceful shutdown of one entry, which ends the process when it is complete. */
export class GracefulShutdown {
    private startedAt: number | undefined;

    /**
     * @param entry - entry to shut down
     * @param callers - connections of the entry's callers
     * @param clock - monotonic clock
     * @param killMilliseconds - time from the request until the platform kills the process
     */
    public constructor(
        private readonly entry: DirectEntry,
        private readonly callers: CallerConnections,
        private readonly clock: Clock,
        private readonly killMilliseconds: number,
    ) {}

    /** True once the shutdown was requested. */
    public get hasStarted(): boolean {
        return this.startedAt !== undefined;
    }

    /** Starts the shutdown, after which the process exits by itself; further calls have no effect. */
    public start(): void {
        if (this.startedAt !== undefined) {
            return;
        }
        this.startedAt = this.clock.nowMilliseconds();
        this.entry.leaveRotation();
        this.callers.closeConnections();
        setInterval(() => this.check(this.startedAt ?? 0), checkIntervalMilliseconds);
    }

    private check(startedAt: number): void {
        const elapsedMilliseconds = this.clock.nowMilliseconds() - startedAt;
        const phase = findShutdownPhase(
            elapsedMilliseconds,
            this.killMilliseconds,
            this.entry.openRequests,
            this.callers.openConnections,
        );
        switch (phase) {
            case "serving":
                return;
            case "refusing":
                this.entry.refuseNewJobs();
                this.callers.closeIdleConnections();
                return;
            case "interrupting":
                this.entry.interruptJobs();
                return;
            case "complete":
                this.entry.stop();
                process.exit(0);
        }
    }
}

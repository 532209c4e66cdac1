/**
 * Carries out the planned stop of an entry.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import type { DirectEntry } from "./directEntry.js";
import { findShutdownPhase } from "./shutdownPhase.js";

/** How often the phase is looked at, in milliseconds. */
const checkIntervalMilliseconds = 50;

/** The callers' connections, as far as a stop has to do with them. */
export interface CallerConnections {
    readonly openConnections: number;
    /** Has every response close its connection from now on. */
    closeConnections(): void;
    /** Closes connections on which no request is open. */
    closeIdleConnections(): void;
}

/** The planned stop of one entry. */
export class GracefulShutdown {
    private startedAt: number | undefined;

    /**
     * @param entry - the entry to stop
     * @param callers - its callers' connections
     * @param clock - steady clock
     * @param killMilliseconds - time from the request until the platform kills the process
     */
    public constructor(
        private readonly entry: DirectEntry,
        private readonly callers: CallerConnections,
        private readonly clock: Clock,
        private readonly killMilliseconds: number,
    ) {}

    /** True once the stop was asked for. */
    public get hasStarted(): boolean {
        return this.startedAt !== undefined;
    }

    /** Begins the stop; the process ends by itself. */
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
        const elapsed = this.clock.nowMilliseconds() - startedAt;
        const phase = findShutdownPhase(
            elapsed,
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
            case "over":
                this.entry.stop();
                process.exit(0);
        }
    }
}

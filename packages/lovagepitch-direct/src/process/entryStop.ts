/**
 * Carries out the planned stop of an entry.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import type { DirectEntry } from "./directEntry.js";
import { findShutdownPhase } from "./entryShutdown.js";

/** How often the phase is looked at, in milliseconds. */
const checkMilliseconds = 50;

/** The callers' connections, as far as a stop has to do with them. */
export interface CallerConnections {
    readonly openConnections: number;
    /** Has every response close its connection from now on. */
    closeConnections(): void;
    /** Closes connections on which no request is open. */
    closeIdleConnections(): void;
}

/** The planned stop of one entry. */
export class EntryStop {
    private begunAt: number | undefined;

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
    public get hasBegun(): boolean {
        return this.begunAt !== undefined;
    }

    /** Begins the stop; the process ends by itself. */
    public begin(): void {
        if (this.begunAt !== undefined) {
            return;
        }
        this.begunAt = this.clock.nowMilliseconds();
        this.entry.leaveRotation();
        this.callers.closeConnections();
        setInterval(() => this.check(this.begunAt ?? 0), checkMilliseconds);
    }

    private check(begunAt: number): void {
        const elapsed = this.clock.nowMilliseconds() - begunAt;
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

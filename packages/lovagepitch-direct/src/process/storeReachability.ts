/**
 * Logs whether the platform's store is reachable: one line when it becomes unreachable and one when it answers again.
 */
import type { RateLimitedLog } from "./rateLimitedLog.js";

/** Tracks the reachability of the store and logs each change. */
export class StoreReachability {
    private isReachable: boolean | undefined;

    /**
     * @param log - log that receives the lines
     */
    public constructor(private readonly log: Pick<RateLimitedLog, "write">) {}

    /**
     * Records the outcome of a call to the store.
     *
     * @param isReachable - true when the store answered
     * @param message - description of the call or of its failure, for the log
     */
    public recordOutcome(isReachable: boolean, message: string): void {
        if (isReachable === this.isReachable) {
            return;
        }
        this.isReachable = isReachable;
        this.log.write(isReachable ? "info" : "warn", isReachable ? "store reachable" : "store unreachable", {
            message,
        });
    }
}

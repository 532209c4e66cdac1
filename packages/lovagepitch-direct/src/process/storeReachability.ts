/**
 * Whether the platform's store answers, for the log: one line when it is lost and one when it is regained.
 */
import type { RateLimitedLog } from "./rateLimitedLog.js";

/** Writes a line at each change. */
export class StoreReachability {
    private isReachable: boolean | undefined;

    /**
     * @param log - where the lines go
     */
    public constructor(private readonly log: Pick<RateLimitedLog, "write">) {}

    /**
     * Notes the outcome of a call.
     *
     * @param isReachable - true when the store answered
     * @param message - what happened and what helps
     */
    public recordOutcome(isReachable: boolean, message: string): void {
        if (isReachable === this.isReachable) {
            return;
        }
        this.isReachable = isReachable;
        this.log.write(isReachable ? "info" : "warn", isReachable ? "store answers" : "store lost", { message });
    }
}

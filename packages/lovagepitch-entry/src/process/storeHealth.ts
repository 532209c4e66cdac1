/**
 * Tracks whether the platform responds.
 */
import type { PlatformError } from "@lovagepitch/platform/platformError";
import type { EventLog } from "@lovagepitch/utils/logger";
import type { Result } from "@lovagepitch/utils/result";

/** Tracks the result of the last request to the platform and logs changes. */
export class StoreHealth {
    private wasHealthy = true;

    /**
     * @param eventLog - log of changes and errors
     */
    public constructor(private readonly eventLog: EventLog) {}

    /** True when the last request was answered. */
    public get isHealthy(): boolean {
        return this.wasHealthy;
    }

    /**
     * Records the result of a request.
     *
     * @param operation - name of the operation, for the log
     * @param result - result of the request
     * @returns the same result
     */
    public record<Value>(operation: string, result: Result<Value, PlatformError>): Result<Value, PlatformError> {
        const isHealthy = result.ok || result.val.kind !== "unavailable";
        if (isHealthy !== this.wasHealthy) {
            this.wasHealthy = isHealthy;
            const message = isHealthy
                ? "the platform answers again"
                : "the platform does not answer; check that it is up";
            this.eventLog.logEvent(isHealthy ? "info" : "warn", message, { operation });
        }
        if (result.err && result.val.kind !== "unavailable") {
            this.eventLog.logEvent("warn", result.val.message, { operation, kind: result.val.kind });
        }
        return result;
    }
}

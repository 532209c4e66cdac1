/**
 * Limit on retries, so that a failing service is not burdened further.
 */

/** Retries that a process may make before its first requests have earned any. */
const initialRetries = 5;
/** Unused retries that may gather. */
const maximumRetries = 20;

/** Allows retries up to a share of the requests made. */
export class RetryBudget {
    private availableRetries = initialRetries;

    /**
     * @param retriesPerRequest - retries earned by each request, from 0 to 1
     */
    public constructor(private readonly retriesPerRequest: number) {}

    /** Counts a first attempt. */
    public recordRequest(): void {
        this.availableRetries = Math.min(maximumRetries, this.availableRetries + this.retriesPerRequest);
    }

    /**
     * Takes a retry from the budget.
     *
     * @returns true when the retry may be made
     */
    public takeRetry(): boolean {
        if (this.availableRetries < 1) {
            return false;
        }
        this.availableRetries -= 1;
        return true;
    }
}

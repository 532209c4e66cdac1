/**
 * Limit on retries, which keeps retries from overloading a failing service.
 */

/** Retries that are available before any request was made. */
const initialRetries = 5;
/** Largest number of unused retries. */
const maximumRetries = 20;

/** Limits retries to a share of the requests. */
export class RetryBudget {
    private availableRetries = initialRetries;

    /**
     * @param retriesPerRequest - retries that each request adds to the budget, from 0 to 1
     */
    public constructor(private readonly retriesPerRequest: number) {}

    /** Counts a request by its first attempt; retries add nothing to the budget. */
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

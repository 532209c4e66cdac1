/**
 * Limit on retries, so that a failing service is not burdened further.
 */

/** Retries that a process may make before its first requests have earned any. */
const initialRetries = 5;
/** Unused retries that may gather. */
const maximumRetries = 20;

/** Allows retries up to a share of the requests made. */
export class RetryBudget {
    private retries = initialRetries;

    /**
     * @param share - retries earned by each request, from 0 to 1
     */
    public constructor(private readonly share: number) {}

    /** Counts a first attempt. */
    public recordRequest(): void {
        this.retries = Math.min(maximumRetries, this.retries + this.share);
    }

    /**
     * Takes a retry from the budget.
     *
     * @returns true when the retry may be made
     */
    public takeRetry(): boolean {
        if (this.retries < 1) {
            return false;
        }
        this.retries -= 1;
        return true;
    }
}

/**
 * Binds callers' idempotency keys to submissions in the platform's table, many in one transaction.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import { createIncarnation } from "@lovagepitch/utils/incarnation";
import { Err, type Result } from "@lovagepitch/utils/result";
import type { SubmissionCodec } from "@lovagepitch/utils/submissionCodec";
import { ClaimGroup, type ClaimGroupContext, type ClaimResult } from "./claimGroup.js";
import { createClaimRowKey, type KeyBinding, type KeyClaim } from "./claimRow.js";
import { PlatformError } from "./platformError.js";
import type { RetryPolicy } from "./retryPolicy.js";
import type { TableService } from "./tableService.js";

const defaultMaximumWaitingClaims = 10_000;
const defaultMaximumClaimsPerTransaction = 200;

/** Settings of the claims of one process. */
export interface ClaimOptions {
    /** How long a key stays bound to its submission, in milliseconds. */
    readonly resubmissionWindowMilliseconds: number;
    /** Largest number of claims that wait for the transaction in flight. */
    readonly maximumWaitingClaims?: number;
    readonly maximumClaimsPerTransaction?: number;
}

/** Claims of callers' keys, which are written in groups, one transaction at a time. */
export class ClaimRepository {
    private readonly context: ClaimGroupContext;
    private readonly maximumWaitingClaims: number;
    private readonly maximumClaimsPerTransaction: number;
    /** Claims in progress by row key; a concurrent claim of the same key shares the result of the first. */
    private readonly claims = new Map<string, Promise<ClaimResult>>();
    private readonly waitingGroups: ClaimGroup[] = [];
    private isCommitting = false;

    /**
     * @param table - the platform's table
     * @param retries - how often a group is attempted
     * @param clock - source of time
     * @param codec - decodes submission ids for their expiry
     * @param options - limits and the resubmission window
     */
    public constructor(
        table: TableService,
        retries: RetryPolicy,
        clock: Clock,
        codec: SubmissionCodec,
        options: ClaimOptions,
    ) {
        const incarnation = createIncarnation();
        let transactionCount = 0;
        const createTransactionId = (): string => {
            transactionCount += 1;
            return `${incarnation}-${transactionCount}`;
        };
        const { resubmissionWindowMilliseconds } = options;
        this.context = { table, retries, clock, codec, resubmissionWindowMilliseconds, createTransactionId };
        this.maximumWaitingClaims = options.maximumWaitingClaims ?? defaultMaximumWaitingClaims;
        this.maximumClaimsPerTransaction = options.maximumClaimsPerTransaction ?? defaultMaximumClaimsPerTransaction;
    }

    /**
     * Binds a key to a submission unless it is already bound. Concurrent claims of one key in this process share
     * one result.
     *
     * @param claim - the key and the submission to bind it to
     * @returns the binding of the key, by this claim or an earlier one; after an error the key may or may not be bound
     */
    public async claim(claim: KeyClaim): Promise<Result<KeyBinding, PlatformError>> {
        const rowKey = createClaimRowKey(claim);
        const inProgress = this.claims.get(rowKey);
        if (inProgress !== undefined) {
            return inProgress;
        }
        if (this.claims.size >= this.maximumWaitingClaims) {
            return Err(new PlatformError("throttled", "Too many keys wait to be claimed; try again in a second"));
        }
        const result = this.enqueue(claim);
        this.claims.set(rowKey, result);
        try {
            return await result;
        }
        finally {
            this.claims.delete(rowKey);
        }
    }

    private enqueue(claim: KeyClaim): Promise<ClaimResult> {
        let group = this.waitingGroups.at(-1);
        if (group === undefined || group.size >= this.maximumClaimsPerTransaction) {
            group = new ClaimGroup(this.context);
            this.waitingGroups.push(group);
        }
        const result = group.add(claim);
        if (!this.isCommitting) {
            this.isCommitting = true;
            // Claims of one tick arrive in one turn of the event loop; waiting for its end groups them all.
            queueMicrotask(() => void this.commitGroups());
        }
        return result;
    }

    private async commitGroups(): Promise<void> {
        for (let group = this.waitingGroups.shift(); group !== undefined; group = this.waitingGroups.shift()) {
            const failure = await group.commit();
            if (failure?.kind === "unavailable") {
                // While the table is unavailable, each group would time out only after all groups before it.
                this.waitingGroups.splice(0).forEach(waiting => waiting.fail(failure));
            }
        }
        this.isCommitting = false;
    }
}

/**
 * A group of claims that is written to the table in one transaction.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import type { SubmissionCodec } from "@lovagepitch/utils/submissionCodec";
import { claimSchema, createClaimRowKey, isReplaceable, type KeyBinding, type KeyClaim } from "./claimRow.js";
import { PlatformError } from "./platformError.js";
import { parseRow } from "./registryRows.js";
import type { RetryPolicy } from "./retryPolicy.js";
import type { ConditionalWrite, TableRow, TableService, WriteCondition } from "./tableService.js";

/** Result of one claim. */
export type ClaimResult = Result<KeyBinding, PlatformError>;

/** Dependencies and settings of a group. */
export interface ClaimGroupContext {
    readonly table: TableService;
    readonly retries: RetryPolicy;
    readonly clock: Clock;
    readonly codec: SubmissionCodec;
    readonly resubmissionWindowMilliseconds: number;
    /** Creates a transaction id that is unique across processes. */
    readonly createTransactionId: () => string;
}

interface PendingClaim {
    readonly claim: KeyClaim;
    readonly rowKey: string;
    readonly condition: WriteCondition;
    readonly resolve: (result: ClaimResult) => void;
}

/** Claims of distinct keys that are written in one transaction. */
export class ClaimGroup {
    private pending: readonly PendingClaim[] = [];
    /** Error of the last lost response; the claims of that transaction may be in the table or may still be written. */
    private lostResponse: PlatformError | undefined;
    /** Error of the last failed attempt to read a row back. */
    private readFailure: PlatformError | undefined;

    /**
     * @param context - the table and the other dependencies of the group
     */
    public constructor(private readonly context: ClaimGroupContext) {}

    /** Number of claims without a result. */
    public get size(): number {
        return this.pending.length;
    }

    /**
     * Adds a claim, whose key must not be in the group yet.
     *
     * @param claim - key and submission to bind
     * @returns a promise of its result, which resolves when the group is committed
     */
    public async add(claim: KeyClaim): Promise<ClaimResult> {
        return new Promise(resolve => {
            const rowKey = createClaimRowKey(claim);
            this.pending = [...this.pending, { claim, rowKey, condition: { kind: "absent" }, resolve }];
        });
    }

    /**
     * Writes the group until every claim has a result.
     *
     * @returns the error that left claims unbound, if any
     */
    public async commit(): Promise<PlatformError | undefined> {
        let failure = new PlatformError("conflict", "The rows of the keys keep changing; try again later");
        for (let attempt = 0; attempt < this.context.retries.maximumAttempts && this.size > 0; attempt += 1) {
            await this.context.retries.waitBefore(attempt);
            const transaction = this.context.createTransactionId();
            const written = await this.context.table.write(this.createWrites(transaction));
            if (written.ok) {
                this.bindAll();
                return undefined;
            }
            failure = written.val;
            switch (failure.kind) {
                case "conflict":
                    await this.resolveConflicts(failure.conflictingKeys);
                    break;
                case "unavailable":
                    this.lostResponse = failure;
                    await this.resolveLostResponse(transaction);
                    break;
                case "invalid":
                case "throttled":
                    return this.fail(this.lostResponse ?? failure);
            }
        }
        return this.size > 0 ? this.fail(this.lostResponse ?? failure) : this.readFailure;
    }

    /**
     * Fails every claim that has no result yet.
     *
     * @param failure - error of these claims
     * @returns the same error
     */
    public fail(failure: PlatformError): PlatformError {
        for (const pending of this.removeAll()) {
            pending.resolve(Err(failure));
        }
        return failure;
    }

    private createWrites(transaction: string): readonly ConditionalWrite[] {
        const expiresAtMilliseconds = this.context.clock.nowMilliseconds()
            + this.context.resubmissionWindowMilliseconds;
        return this.pending.map(({ claim, rowKey, condition }) => ({
            key: rowKey,
            condition,
            value: {
                team: claim.team,
                service: claim.service,
                key: claim.key,
                jobDigest: claim.jobDigest,
                submission: claim.submission,
                expiresAtMilliseconds,
                transaction,
            },
        }));
    }

    /** Reads back only the rows that conflicted; all rows when the service did not name them. */
    private async resolveConflicts(conflictingKeys: readonly string[]): Promise<void> {
        const isConflicting = (pending: PendingClaim): boolean =>
            conflictingKeys.length === 0 || conflictingKeys.includes(pending.rowKey);
        const checked = await Promise.all(this.pending.filter(isConflicting).map(pending => this.readBack(pending)));
        const unresolved = checked.filter(pending => pending !== undefined);
        this.pending = [...this.pending.filter(pending => !isConflicting(pending)), ...unresolved];
    }

    /** Reads one row to find out whether the transaction was committed, because it writes all rows or none. */
    private async resolveLostResponse(transaction: string): Promise<void> {
        const [probe, ...others] = this.pending;
        if (probe === undefined) {
            return;
        }
        const row = await this.context.table.read(probe.rowKey);
        if (row.err) {
            this.readFailure = this.fail(row.val);
            return;
        }
        const value = row.val === undefined ? undefined : parseRow(row.val, claimSchema);
        if (value?.ok && value.val.transaction === transaction) {
            this.bindAll();
            return;
        }
        const remaining = this.resolveFromRow(probe, row.val);
        this.pending = remaining === undefined ? others : [remaining, ...others];
    }

    private async readBack(pending: PendingClaim): Promise<PendingClaim | undefined> {
        const row = await this.context.table.read(pending.rowKey);
        if (row.err) {
            this.readFailure = row.val;
            pending.resolve(row);
            return undefined;
        }
        return this.resolveFromRow(pending, row.val);
    }

    /**
     * Compares a claim with its row, and resolves the claim when the row is already bound.
     *
     * @param pending - claim without a result
     * @param row - row of its key, undefined when there is none
     * @returns the claim with the condition for its next write, or undefined when it was resolved
     */
    private resolveFromRow(pending: PendingClaim, row: TableRow | undefined): PendingClaim | undefined {
        if (row === undefined) {
            return { ...pending, condition: { kind: "absent" } };
        }
        const value = parseRow(row, claimSchema);
        if (value.err) {
            pending.resolve(value);
            return undefined;
        }
        if (isReplaceable(value.val, this.context.codec, this.context.clock.nowMilliseconds())) {
            return { ...pending, condition: { kind: "etag", etag: row.etag } };
        }
        bind(pending, value.val);
        return undefined;
    }

    private bindAll(): void {
        for (const pending of this.removeAll()) {
            bind(pending, pending.claim);
        }
    }

    private removeAll(): readonly PendingClaim[] {
        const taken = this.pending;
        this.pending = [];
        return taken;
    }
}

function bind(pending: PendingClaim, { submission, jobDigest }: KeyBinding): void {
    pending.resolve(Ok({ submission, jobDigest }));
}

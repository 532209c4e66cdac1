/**
 * Registry of agents and entries in the platform's table.
 */
import type { Incarnation } from "@lovagepitch/types/identity";
import type { AgentRegistration, EntryRegistration, Registry } from "@lovagepitch/types/registry";
import type { Clock } from "@lovagepitch/utils/clock";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { AgentRegistrar } from "./agentRegistrar.js";
import { OwnedRows } from "./ownedRows.js";
import { PlatformError } from "./platformError.js";
import {
    agentPrefix,
    agentSchema,
    checkServing,
    entryPrefix,
    entrySchema,
    parseRegistry,
    parseRow,
    pendingPrefix,
    registryPrefix,
    unnumberedAgentSchema,
    type UnnumberedRegistration,
} from "./registryRows.js";
import type { RetryPolicy } from "./retryPolicy.js";
import type { ConditionalWrite, TableRow, TableService } from "./tableService.js";

/** Reads and writes registrations by incarnation; agents are numbered in order of registration. */
export class RegistryRepository {
    private readonly agents: OwnedRows<AgentRegistration>;
    private readonly entries: OwnedRows<EntryRegistration>;
    /** Time since which the table has answered every listing of this process. */
    private tableReachableSinceMilliseconds: number;

    /**
     * @param table - the platform's table
     * @param retries - attempts and backoff of an operation
     * @param clock - source of time
     */
    public constructor(
        private readonly table: TableService,
        private readonly retries: RetryPolicy,
        private readonly clock: Clock,
    ) {
        this.agents = new OwnedRows(table, retries, agentSchema);
        this.entries = new OwnedRows(table, retries, entrySchema);
        this.tableReachableSinceMilliseconds = clock.nowMilliseconds();
    }

    /**
     * Registers an agent; idempotent by incarnation.
     *
     * @param registration - the agent without its number
     * @returns its number, or the error when its row is not known to be durable
     */
    public async registerAgent(registration: UnnumberedRegistration): Promise<Result<number, PlatformError>> {
        const numbers = await this.registerAgents([registration]);
        return numbers.map(([number]) => Number(number));
    }

    /**
     * Registers agents in one transaction; idempotent by incarnation.
     *
     * @param registrations - the agents without their numbers
     * @returns their numbers in the given order, or the error when not all rows are known to be durable
     */
    public async registerAgents(
        registrations: readonly UnnumberedRegistration[],
    ): Promise<Result<readonly number[], PlatformError>> {
        return new AgentRegistrar(this.table, this.retries, this.clock, this.agents, registrations).register();
    }

    /**
     * Renews an agent's row.
     *
     * @param incarnation - incarnation of the agent
     * @returns nothing, or the error when the renewal is not known to be durable; "conflict" when the row is in state
     * "left" or was deleted
     */
    public async renewAgent(incarnation: Incarnation): Promise<Result<void, PlatformError>> {
        return this.renew(this.agents, agentPrefix + incarnation);
    }

    /**
     * Marks an agent as left; its row keeps its number until it expires.
     *
     * @param incarnation - incarnation of the agent
     * @returns nothing, or the error when the change is not known to be durable
     */
    public async markAgentLeft(incarnation: Incarnation): Promise<Result<void, PlatformError>> {
        const key = agentPrefix + incarnation;
        const marked = await this.markLeft(this.agents, key);
        if (marked.err || marked.val !== undefined) {
            return marked.map(() => undefined);
        }
        // Without its pending row no process can number the agent, but one may have done so before the deletion.
        const pending: ConditionalWrite = {
            key: pendingPrefix + incarnation,
            condition: { kind: "always" },
            value: undefined,
        };
        const deletion = await this.table.write([pending]);
        return deletion.err ? deletion : (await this.markLeft(this.agents, key)).map(() => undefined);
    }

    /**
     * Registers an entry; idempotent by incarnation.
     *
     * @param registration - row of the entry
     * @returns nothing, or the error when its row is not known to be durable
     */
    public async registerEntry(registration: EntryRegistration): Promise<Result<void, PlatformError>> {
        const key = entryPrefix + registration.incarnation;
        let failure = new PlatformError("conflict", `The row ${key} keeps changing; try again later`);
        for (let attempt = 0; attempt < this.retries.maximumAttempts; attempt += 1) {
            await this.retries.waitBefore(attempt);
            const written = await this.table.write([{ key, condition: { kind: "absent" }, value: registration }]);
            if (written.ok) {
                this.entries.cacheRow(key, registration, String(written.val[0]));
                return Ok(undefined);
            }
            if (written.val.kind === "throttled" || written.val.kind === "invalid") {
                return failure.kind === "unavailable" ? Err(failure) : written;
            }
            failure = written.val;
            const row = await this.entries.read(key);
            if (row.err) {
                return row;
            }
            if (row.val !== undefined) {
                return checkServing(key, row.val).map(() => undefined);
            }
        }
        return Err(failure);
    }

    /**
     * Renews an entry's row.
     *
     * @param incarnation - incarnation of the entry
     * @returns nothing, or the error when the renewal is not known to be durable; "conflict" when the row is in state
     * "left" or was deleted
     */
    public async renewEntry(incarnation: Incarnation): Promise<Result<void, PlatformError>> {
        return this.renew(this.entries, entryPrefix + incarnation);
    }

    /**
     * Marks an entry as left.
     *
     * @param incarnation - incarnation of the entry
     * @returns nothing, or the error when the change is not known to be durable
     */
    public async markEntryLeft(incarnation: Incarnation): Promise<Result<void, PlatformError>> {
        const marked = await this.markLeft(this.entries, entryPrefix + incarnation);
        return marked.map(() => undefined);
    }

    /**
     * Reads a snapshot of the registry.
     *
     * @returns the registry, or the error when it could not be read
     */
    public async read(): Promise<Result<Registry, PlatformError>> {
        const rows = await this.listRows();
        return rows.andThen(parseRegistry);
    }

    /**
     * Deletes the rows whose last renewal, or change to state "left", is longer ago than a window. Rows in state
     * "serving" are kept until the table has answered this process for that long, because an outage of the table also
     * prevents renewals.
     *
     * @param nowMilliseconds - current time, in milliseconds since the epoch
     * @param windowMilliseconds - longest age of a renewal, in milliseconds
     * @returns the number of rows deleted, or the error when the other rows may still exist
     */
    public async removeExpired(
        nowMilliseconds: number,
        windowMilliseconds: number,
    ): Promise<Result<number, PlatformError>> {
        const rows = await this.listRows();
        if (rows.err) {
            return rows;
        }
        const keepsServingRows = nowMilliseconds - this.tableReachableSinceMilliseconds <= windowMilliseconds;
        let removed = 0;
        for (const row of rows.val) {
            const registration = parseRegistration(row);
            if (registration === undefined || (keepsServingRows && registration.state === "serving")) {
                continue;
            }
            if (nowMilliseconds - registration.renewedAtMilliseconds <= windowMilliseconds) {
                continue;
            }
            const deletion = await this.deleteRow(row);
            if (deletion.err) {
                return deletion;
            }
            removed += deletion.val;
        }
        return Ok(removed);
    }

    private async renew<Row extends AgentRegistration | EntryRegistration>(
        rows: OwnedRows<Row>,
        key: string,
    ): Promise<Result<void, PlatformError>> {
        const renewedAtMilliseconds = this.clock.nowMilliseconds();
        const renewed = await rows.update(key, {
            computeValue: row => checkServing(key, row).map(serving => ({ ...serving, renewedAtMilliseconds })),
            isApplied: row => row.state === "serving" && row.renewedAtMilliseconds >= renewedAtMilliseconds,
        });
        if (renewed.ok && renewed.val === undefined) {
            const message = `The row ${key} was deleted; restart the process to register again`;
            return Err(new PlatformError("conflict", message));
        }
        return renewed.map(() => undefined);
    }

    private async markLeft<Row extends AgentRegistration | EntryRegistration>(
        rows: OwnedRows<Row>,
        key: string,
    ): Promise<Result<Row | undefined, PlatformError>> {
        // The retention window of a row in state "left" starts now.
        const renewedAtMilliseconds = this.clock.nowMilliseconds();
        return rows.update(key, {
            computeValue: row => Ok(row.state === "left" ? row : { ...row, state: "left", renewedAtMilliseconds }),
            isApplied: row => row.state === "left",
        });
    }

    private async listRows(): Promise<Result<readonly TableRow[], PlatformError>> {
        const rows = await this.table.list(registryPrefix);
        if (rows.err) {
            this.tableReachableSinceMilliseconds = this.clock.nowMilliseconds();
        }
        return rows;
    }

    /** Deletes a row on the condition of its ETag; returns the number of rows deleted. */
    private async deleteRow(row: TableRow): Promise<Result<number, PlatformError>> {
        const deletion: ConditionalWrite = {
            key: row.key,
            condition: { kind: "etag", etag: row.etag },
            value: undefined,
        };
        let failure = new PlatformError("unavailable", `The row ${row.key} may still exist; try again later`);
        for (let attempt = 0; attempt < this.retries.maximumAttempts; attempt += 1) {
            await this.retries.waitBefore(attempt);
            const written = await this.table.write([deletion]);
            if (written.ok) {
                return Ok(1);
            }
            if (written.val.kind !== "unavailable") {
                // A row that changed was renewed, so it is not expired any more, or another process deleted it.
                return written.val.kind === "conflict" ? Ok(0) : written;
            }
            failure = written.val;
            const remaining = await this.table.read(row.key);
            if (remaining.err || remaining.val === undefined) {
                return remaining.map(() => 1);
            }
        }
        return Err(failure);
    }
}

function parseRegistration(row: TableRow): UnnumberedRegistration | EntryRegistration | undefined {
    if (row.key.startsWith(agentPrefix) || row.key.startsWith(pendingPrefix)) {
        return parseRow(row, unnumberedAgentSchema).unwrapOr(undefined);
    }
    return row.key.startsWith(entryPrefix) ? parseRow(row, entrySchema).unwrapOr(undefined) : undefined;
}

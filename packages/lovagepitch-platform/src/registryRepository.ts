/**
 * The registry of agents and entries in the platform's table.
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
    type UnnumberedRegistration,
    unnumberedSchema,
} from "./registryRows.js";
import type { RetryPolicy } from "./retryPolicy.js";
import type { ConditionalWrite, TableRow, TableService } from "./tableService.js";

/** Registrations by incarnation, agents numbered in order. */
export class RegistryRepository {
    private readonly agents: OwnedRows<AgentRegistration>;
    private readonly entries: OwnedRows<EntryRegistration>;
    /** Start of the time over which this process has seen the table answer. */
    private tableReachableSinceMilliseconds: number;

    /**
     * @param table - the platform's table
     * @param retries - how often an operation is attempted
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
     * @param registration - the agent
     * @returns its number, or why its row is not known to be durable
     */
    public async registerAgent(registration: UnnumberedRegistration): Promise<Result<number, PlatformError>> {
        const numbers = await this.registerAgents([registration]);
        return numbers.map(([number]) => Number(number));
    }

    /**
     * Registers agents in one transaction; idempotent by incarnation.
     *
     * @param registrations - the agents
     * @returns their numbers in the order given, or why not all rows are known to be durable
     */
    public async registerAgents(
        registrations: readonly UnnumberedRegistration[],
    ): Promise<Result<readonly number[], PlatformError>> {
        return new AgentRegistrar(this.table, this.retries, this.clock, this.agents, registrations).register();
    }

    /**
     * Renews an agent's row.
     *
     * @param incarnation - the agent
     * @returns nothing, or why the renewal is not known to be durable; "conflict" when the row has left or is gone
     */
    public async renewAgent(incarnation: Incarnation): Promise<Result<void, PlatformError>> {
        return this.renew(this.agents, agentPrefix + incarnation);
    }

    /**
     * Marks an agent as left; its row keeps its number until it expires.
     *
     * @param incarnation - the agent
     * @returns nothing, or why the mark is not known to be durable
     */
    public async markAgentLeft(incarnation: Incarnation): Promise<Result<void, PlatformError>> {
        const key = agentPrefix + incarnation;
        const marked = await this.markLeft(this.agents, key);
        if (marked.err || marked.val !== undefined) {
            return marked.map(() => undefined);
        }
        // Without its pending row nobody can number the agent any more; someone may have done so just before.
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
     * @param registration - the entry
     * @returns nothing, or why its row is not known to be durable
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
     * @param incarnation - the entry
     * @returns nothing, or why the renewal is not known to be durable; "conflict" when the row has left or is gone
     */
    public async renewEntry(incarnation: Incarnation): Promise<Result<void, PlatformError>> {
        return this.renew(this.entries, entryPrefix + incarnation);
    }

    /**
     * Marks an entry as left.
     *
     * @param incarnation - the entry
     * @returns nothing, or why the mark is not known to be durable
     */
    public async markEntryLeft(incarnation: Incarnation): Promise<Result<void, PlatformError>> {
        const marked = await this.markLeft(this.entries, entryPrefix + incarnation);
        return marked.map(() => undefined);
    }

    /**
     * Reads the registry as of one instant.
     *
     * @returns the registry, or why it could not be read
     */
    public async read(): Promise<Result<Registry, PlatformError>> {
        const rows = await this.listRows();
        return rows.andThen(parseRegistry);
    }

    /**
     * Deletes the rows that left or were not renewed for longer than a window. Rows that claim to serve are spared
     * until this process has seen the table answer for that long, because an outage of the table stops renewals too.
     *
     * @param nowMilliseconds - the current instant, in milliseconds since the epoch
     * @param windowMilliseconds - the window, in milliseconds
     * @returns the number of rows deleted, or why the rest may still be there
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
            const message = `The row ${key} is gone; restart the process, so that it registers anew`;
            return Err(new PlatformError("conflict", message));
        }
        return renewed.map(() => undefined);
    }

    private async markLeft<Row extends AgentRegistration | EntryRegistration>(
        rows: OwnedRows<Row>,
        key: string,
    ): Promise<Result<Row | undefined, PlatformError>> {
        // The window of a row that left runs from here.
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

    /** Deletes a row under its tag; returns the number of rows deleted. */
    private async deleteRow(row: TableRow): Promise<Result<number, PlatformError>> {
        const deletion: ConditionalWrite = {
            key: row.key,
            condition: { kind: "etag", etag: row.etag },
            value: undefined,
        };
        let failure = new PlatformError("unavailable", `The row ${row.key} may still be there; try again later`);
        for (let attempt = 0; attempt < this.retries.maximumAttempts; attempt += 1) {
            await this.retries.waitBefore(attempt);
            const written = await this.table.write([deletion]);
            if (written.ok) {
                return Ok(1);
            }
            if (written.val.kind !== "unavailable") {
                // A row that changed is not expired any more, or someone else has deleted it.
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
        return parseRow(row, unnumberedSchema).unwrapOr(undefined);
    }
    return row.key.startsWith(entryPrefix) ? parseRow(row, entrySchema).unwrapOr(undefined) : undefined;
}

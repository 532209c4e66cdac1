/**
 * The registry of agents and entries in the platform's table.
 */
import type { Incarnation } from "@lovagepitch/types/identity";
import type { AgentRegistration, EntryRegistration, Registry } from "@lovagepitch/types/registry";
import type { Clock } from "@lovagepitch/utils/clock";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { OwnedRows } from "./ownedRows.js";
import { PlatformError } from "./platformError.js";
import {
    agentPrefix,
    agentSchema,
    counterKey,
    counterSchema,
    entryPrefix,
    entrySchema,
    parseRegistry,
    parseRow,
    registryPrefix,
} from "./registryRows.js";
import type { RetryPolicy } from "./retryPolicy.js";
import type { ConditionalWrite, TableRow, TableService, WriteCondition } from "./tableService.js";

/** An agent's registration before it has a number. */
export type UnnumberedRegistration = Omit<AgentRegistration, "number">;

interface Counter {
    readonly lastNumber: number;
    readonly condition: WriteCondition;
}

/** Registrations by incarnation, agents numbered in order. */
export class RegistryRepository {
    private readonly agents: OwnedRows<AgentRegistration>;
    private readonly entries: OwnedRows<EntryRegistration>;
    /** Start of the time over which this process has seen the table answer. */
    private observedSinceMilliseconds: number;

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
        this.observedSinceMilliseconds = clock.nowMilliseconds();
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
        const numbers = new Map<Incarnation, number>();
        const missing = new Map(registrations.map(registration => [registration.incarnation, registration]));
        let failure = new PlatformError("conflict", "Too many agents register at once; wait a second and try again");
        for (let attempt = 0; attempt < this.retries.maximumAttempts && missing.size > 0; attempt += 1) {
            await this.retries.waitBefore(attempt);
            const written = await this.insertAgents([...missing.values()]);
            if (written.ok) {
                written.val.forEach(agent => numbers.set(agent.incarnation, agent.number));
                missing.clear();
                break;
            }
            if (written.val.kind === "throttled" || written.val.kind === "invalid") {
                return failure.kind === "unavailable" ? Err(failure) : written;
            }
            failure = written.val.kind === "unavailable" ? written.val : failure;
            const found = await this.readBackAgents(written.val, [...missing.keys()]);
            if (found.err) {
                return found;
            }
            for (const agent of found.val) {
                numbers.set(agent.incarnation, agent.number);
                missing.delete(agent.incarnation);
            }
        }
        return missing.size > 0
            ? Err(failure)
            : Ok(registrations.map(registration => Number(numbers.get(registration.incarnation))));
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
        return this.markLeft(this.agents, agentPrefix + incarnation);
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
                this.entries.remember(key, registration, String(written.val[0]));
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
        return this.markLeft(this.entries, entryPrefix + incarnation);
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
        const sparesServing = nowMilliseconds - this.observedSinceMilliseconds <= windowMilliseconds;
        let removed = 0;
        for (const row of rows.val) {
            const registration = parseRegistration(row);
            if (registration === undefined || (sparesServing && registration.state === "serving")) {
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

    private async insertAgents(
        registrations: readonly UnnumberedRegistration[],
    ): Promise<Result<readonly AgentRegistration[], PlatformError>> {
        const counter = await this.readCounter();
        if (counter.err) {
            return counter;
        }
        const { lastNumber, condition } = counter.val;
        const agents = registrations.map((registration, index) => ({
            ...registration,
            number: lastNumber + index + 1,
        }));
        const inserts = agents.map((agent): ConditionalWrite => ({
            key: agentPrefix + agent.incarnation,
            condition: { kind: "absent" },
            value: agent,
        }));
        const raise = { key: counterKey, condition, value: { lastNumber: lastNumber + agents.length } };
        const written = await this.table.write([raise, ...inserts]);
        return written.map(etags => {
            inserts.forEach((insert, index) => {
                this.agents.remember(insert.key, agents[index] as AgentRegistration, String(etags[index + 1]));
            });
            return agents;
        });
    }

    private async readCounter(): Promise<Result<Counter, PlatformError>> {
        const row = await this.table.read(counterKey);
        if (row.err) {
            return row;
        }
        if (row.val !== undefined) {
            const condition: WriteCondition = { kind: "etag", etag: row.val.etag };
            return parseRow(row.val, counterSchema).map(({ lastNumber }) => ({ lastNumber, condition }));
        }
        // A counter that was deleted must not hand out the numbers of rows that are still there.
        const registry = await this.read();
        return registry.map(({ version }) => ({ lastNumber: version, condition: { kind: "absent" } }));
    }

    private async readBackAgents(
        failure: PlatformError,
        incarnations: readonly Incarnation[],
    ): Promise<Result<readonly AgentRegistration[], PlatformError>> {
        const onlyCounter = failure.conflictingKeys.length > 0
            && failure.conflictingKeys.every(key => key === counterKey);
        if (onlyCounter) {
            return Ok([]);
        }
        const prefix = incarnations.length === 1 ? `${agentPrefix}${incarnations[0]}` : agentPrefix;
        const rows = await this.table.list(prefix);
        if (rows.err) {
            return rows;
        }
        const wanted = new Set(incarnations.map(incarnation => agentPrefix + incarnation));
        const found: AgentRegistration[] = [];
        for (const row of rows.val.filter(candidate => wanted.has(candidate.key))) {
            const agent = parseRow(row, agentSchema).andThen(value => checkServing(row.key, value));
            if (agent.err) {
                return agent;
            }
            this.agents.remember(row.key, agent.val, row.etag);
            found.push(agent.val);
        }
        return Ok(found);
    }

    private async renew<Row extends AgentRegistration | EntryRegistration>(
        rows: OwnedRows<Row>,
        key: string,
    ): Promise<Result<void, PlatformError>> {
        const renewedAtMilliseconds = this.clock.nowMilliseconds();
        const renewed = await rows.update(key, {
            change: row => checkServing(key, row).map(serving => ({ ...serving, renewedAtMilliseconds })),
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
    ): Promise<Result<void, PlatformError>> {
        // The window of a row that left runs from here.
        const renewedAtMilliseconds = this.clock.nowMilliseconds();
        const marked = await rows.update(key, {
            change: row => Ok(row.state === "left" ? row : { ...row, state: "left", renewedAtMilliseconds }),
            isApplied: row => row.state === "left",
        });
        return marked.map(() => undefined);
    }

    private async listRows(): Promise<Result<readonly TableRow[], PlatformError>> {
        const rows = await this.table.list(registryPrefix);
        if (rows.err) {
            this.observedSinceMilliseconds = this.clock.nowMilliseconds();
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

function checkServing<Row extends AgentRegistration | EntryRegistration>(
    key: string,
    row: Row,
): Result<Row, PlatformError> {
    if (row.state === "serving") {
        return Ok(row);
    }
    const message = `The row ${key} has left for good; restart the process, so that it registers anew`;
    return Err(new PlatformError("conflict", message));
}

function parseRegistration(row: TableRow): AgentRegistration | EntryRegistration | undefined {
    if (row.key.startsWith(agentPrefix)) {
        return parseRow(row, agentSchema).unwrapOr(undefined);
    }
    return row.key.startsWith(entryPrefix) ? parseRow(row, entrySchema).unwrapOr(undefined) : undefined;
}

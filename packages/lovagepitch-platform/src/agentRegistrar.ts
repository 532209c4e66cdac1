/**
 * Registration of agents under contention. An agent whose write of the counter conflicts leaves a pending row, and the
 * next process that updates the counter numbers all pending agents in the same transaction.
 */
import type { Incarnation } from "@lovagepitch/types/identity";
import type { AgentRegistration } from "@lovagepitch/types/registry";
import type { Clock } from "@lovagepitch/utils/clock";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import type { OwnedRows } from "./ownedRows.js";
import { PlatformError } from "./platformError.js";
import { maximumTransactionWrites } from "./platformProtocol.js";
import {
    agentPrefix,
    agentSchema,
    checkServing,
    counterKey,
    counterSchema,
    numberingPrefix,
    parseRegistry,
    parseRow,
    pendingPrefix,
    registryPrefix,
    unnumberedAgentSchema,
    type UnnumberedRegistration,
} from "./registryRows.js";
import type { RetryPolicy } from "./retryPolicy.js";
import type { ConditionalWrite, TableRow, TableService, WriteCondition } from "./tableService.js";

/** Largest number of other processes' pending agents that one transaction numbers. */
const maximumOtherAgents = 200;
/** Age from which other processes no longer number a pending row, because its agent may no longer try to register. */
const pendingLifetimeMilliseconds = 60_000;
/** Writes needed for an agent with a pending row: its insertion and the deletion of the pending row. */
const writesPerAgent = 2;
/** Backoff steps that are added to the attempts of an agent with a pending row. */
const pendingBackoffOffset = 2;

/** Snapshot of the counter and the pending rows. */
interface Numbering {
    readonly lastNumber: number;
    readonly counterCondition: WriteCondition;
    readonly pendingRows: readonly TableRow[];
}

/** Performs one registration of one or more agents. */
export class AgentRegistrar {
    private readonly unregistered: Map<Incarnation, UnnumberedRegistration>;
    private readonly assignedNumbers = new Map<Incarnation, number>();
    /** Keys of other processes' pending rows whose agents conflicted because they are already registered. */
    private readonly alreadyRegisteredKeys = new Set<string>();
    /** False when the service does not name conflicting rows, because it is then unsafe to number other agents. */
    private canNumberOthers = true;
    private hasPendingRows = false;

    /**
     * @param table - the platform's table
     * @param retries - how often the registration is attempted
     * @param clock - source of time
     * @param agents - caches the rows for later renewals
     * @param registrations - the agents to register
     */
    public constructor(
        private readonly table: TableService,
        private readonly retries: RetryPolicy,
        private readonly clock: Clock,
        private readonly agents: OwnedRows<AgentRegistration>,
        private readonly registrations: readonly UnnumberedRegistration[],
    ) {
        this.unregistered = new Map(registrations.map(registration => [registration.incarnation, registration]));
    }

    /**
     * Registers the agents; idempotent by incarnation.
     *
     * @returns their numbers in the given order, or the error when not all rows are known to be durable
     */
    public async register(): Promise<Result<readonly number[], PlatformError>> {
        let failure = new PlatformError("conflict", "Too many agents register at once; wait a second and try again");
        for (let attempt = 0; attempt < this.retries.maximumAttempts && this.unregistered.size > 0; attempt += 1) {
            // The longer backoff gives other processes time to number agents with a pending row.
            await this.retries.waitBefore(this.hasPendingRows ? attempt + pendingBackoffOffset : attempt);
            const attempted = this.hasPendingRows
                ? await this.attemptAfterReadBack()
                : await this.attemptRegistration();
            if (attempted.ok) {
                continue;
            }
            if (attempted.val.kind === "throttled" || attempted.val.kind === "invalid") {
                return Err(failure.kind === "unavailable" ? failure : attempted.val);
            }
            failure = attempted.val.kind === "unavailable" ? attempted.val : failure;
            const readBackResult = this.mayBeRegistered(attempted.val) ? await this.readBack() : Ok(undefined);
            if (readBackResult.err) {
                return readBackResult;
            }
            await this.writePendingRows();
        }
        if (this.unregistered.size > 0) {
            return Err(failure);
        }
        return Ok(this.registrations.map(registration => Number(this.assignedNumbers.get(registration.incarnation))));
    }

    /** Checks whether another process has numbered the agents before it makes an attempt. */
    private async attemptAfterReadBack(): Promise<Result<void, PlatformError>> {
        const found = await this.readBack();
        return found.err || this.unregistered.size === 0 ? found : this.attemptRegistration();
    }

    /** Numbers this process's agents and other processes' pending agents in one transaction. */
    private async attemptRegistration(): Promise<Result<void, PlatformError>> {
        const numbering = await this.readNumbering();
        if (numbering.err) {
            return numbering;
        }
        const { lastNumber, counterCondition, pendingRows } = numbering.val;
        const otherAgents = this.selectOtherAgents(pendingRows);
        const added = [...this.unregistered.values(), ...otherAgents.values()];
        const numbered = added.map((agent, index) => ({ ...agent, number: lastNumber + index + 1 }));
        const counterValue = { lastNumber: lastNumber + numbered.length };
        const deletedRows = pendingRows.filter(row => {
            return this.isOwnPendingRow(row) || otherAgents.has(row.key) || this.alreadyRegisteredKeys.has(row.key);
        });
        const written = await this.table.write([
            { key: counterKey, condition: counterCondition, value: counterValue },
            ...numbered.map(createInsert),
            ...deletedRows.map(createDeletion),
        ]);
        if (written.err) {
            this.recordConflict(written.val, otherAgents);
            return written;
        }
        numbered.slice(0, this.unregistered.size).forEach((agent, index) => {
            this.recordRegistration(agent, String(written.val[index + 1]));
        });
        return Ok(undefined);
    }

    private async readNumbering(): Promise<Result<Numbering, PlatformError>> {
        const rows = await this.table.list(numberingPrefix);
        if (rows.err) {
            return rows;
        }
        const pendingRows = rows.val.filter(row => row.key.startsWith(pendingPrefix));
        const counter = rows.val.find(row => row.key === counterKey);
        if (counter !== undefined) {
            const counterCondition: WriteCondition = { kind: "etag", etag: counter.etag };
            return parseRow(counter, counterSchema).map(({ lastNumber }) => {
                return { lastNumber, counterCondition, pendingRows };
            });
        }
        // After the counter was deleted, the numbers of existing rows must not be assigned again.
        const registry = await this.table.list(registryPrefix);
        return registry.andThen(parseRegistry).map(({ version }) => {
            return { lastNumber: version, counterCondition: { kind: "absent" }, pendingRows };
        });
    }

    private selectOtherAgents(pendingRows: readonly TableRow[]): ReadonlyMap<string, UnnumberedRegistration> {
        const oldest = this.clock.nowMilliseconds() - pendingLifetimeMilliseconds;
        const selected = new Map<string, UnnumberedRegistration>();
        const limit = this.computeOtherAgentsLimit();
        for (const row of pendingRows) {
            if (selected.size >= limit) {
                break;
            }
            const agent = parseRow(row, unnumberedAgentSchema);
            const isSelectable = this.canNumberOthers && !this.isOwnPendingRow(row)
                && !this.alreadyRegisteredKeys.has(row.key);
            if (isSelectable && agent.ok && agent.val.renewedAtMilliseconds >= oldest) {
                selected.set(row.key, agent.val);
            }
        }
        return selected;
    }

    /** Computes how many other agents fit into the transaction; each agent may need 2 writes. */
    private computeOtherAgentsLimit(): number {
        const spareWrites = maximumTransactionWrites - 1 - this.alreadyRegisteredKeys.size
            - writesPerAgent * this.unregistered.size;
        return Math.min(maximumOtherAgents, Math.floor(spareWrites / writesPerAgent));
    }

    private recordConflict(error: PlatformError, otherAgents: ReadonlyMap<string, UnnumberedRegistration>): void {
        if (error.kind !== "conflict") {
            return;
        }
        this.canNumberOthers = this.canNumberOthers && error.conflictingKeys.length > 0;
        for (const [pendingKey, agent] of otherAgents) {
            if (error.conflictingKeys.includes(agentPrefix + agent.incarnation)) {
                this.alreadyRegisteredKeys.add(pendingKey);
            }
        }
    }

    /** Tells whether some of the agents may have rows in spite of the failed attempt. */
    private mayBeRegistered(error: PlatformError): boolean {
        const isOnlyCounterConflicting = error.conflictingKeys.length > 0
            && error.conflictingKeys.every(key => key === counterKey);
        return this.hasPendingRows || !isOnlyCounterConflicting;
    }

    /** Finds agents whose rows were already written by this process or another one. */
    private async readBack(): Promise<Result<void, PlatformError>> {
        const [first] = this.unregistered.keys();
        const prefix = this.unregistered.size === 1 ? `${agentPrefix}${first}` : agentPrefix;
        const rows = await this.table.list(prefix);
        if (rows.err) {
            return rows;
        }
        const wantedKeys = new Set([...this.unregistered.keys()].map(incarnation => agentPrefix + incarnation));
        for (const row of rows.val.filter(candidate => wantedKeys.has(candidate.key))) {
            const agent = parseRow(row, agentSchema).andThen(value => checkServing(row.key, value));
            if (agent.err) {
                return agent;
            }
            this.recordRegistration(agent.val, row.etag);
        }
        return Ok(undefined);
    }

    /** Writes pending rows, so that another process can number the agents; without them they only wait longer. */
    private async writePendingRows(): Promise<void> {
        if (this.hasPendingRows || this.unregistered.size === 0) {
            return;
        }
        const written = await this.table.write([...this.unregistered.values()].map(createPending));
        this.hasPendingRows = written.ok;
    }

    private recordRegistration(agent: AgentRegistration, etag: string): void {
        this.agents.cacheRow(agentPrefix + agent.incarnation, agent, etag);
        this.assignedNumbers.set(agent.incarnation, agent.number);
        this.unregistered.delete(agent.incarnation);
    }

    private isOwnPendingRow(pendingRow: TableRow): boolean {
        return this.unregistered.has(pendingRow.key.slice(pendingPrefix.length));
    }
}

function createInsert(agent: AgentRegistration): ConditionalWrite {
    return { key: agentPrefix + agent.incarnation, condition: { kind: "absent" }, value: agent };
}

function createDeletion(row: TableRow): ConditionalWrite {
    return { key: row.key, condition: { kind: "etag", etag: row.etag }, value: undefined };
}

function createPending(agent: UnnumberedRegistration): ConditionalWrite {
    return { key: pendingPrefix + agent.incarnation, condition: { kind: "absent" }, value: agent };
}

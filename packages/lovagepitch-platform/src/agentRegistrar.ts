/**
 * Registration of agents under contention. An agent that loses the race for the counter leaves a pending row, and
 * whoever wins it next numbers all pending agents in the same transaction.
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
    type UnnumberedRegistration,
    unnumberedSchema,
} from "./registryRows.js";
import type { RetryPolicy } from "./retryPolicy.js";
import type { ConditionalWrite, TableRow, TableService, WriteCondition } from "./tableService.js";

/** Other processes' pending agents that one transaction numbers. */
const maximumOtherAgents = 200;
/** Pending rows that are older may be of agents that gave up, so only their owners number them. */
const pendingLifetimeMilliseconds = 60_000;
/** Writes that an agent with a pending row takes. */
const writesPerAgent = 2;
/** How many steps of backoff a pending agent is ahead of its attempts. */
const pendingBackoffOffset = 2;

/** The counter and the pending rows as of one instant. */
interface Numbering {
    readonly lastNumber: number;
    readonly counterCondition: WriteCondition;
    readonly pendingRows: readonly TableRow[];
}

/** One registration of one or many agents. */
export class AgentRegistrar {
    private readonly unregistered: Map<Incarnation, UnnumberedRegistration>;
    private readonly assignedNumbers = new Map<Incarnation, number>();
    /** Others' pending agents whose rows stood in the way, because they were registered before. */
    private readonly alreadyRegisteredKeys = new Set<string>();
    /** A service that does not name conflicting rows leaves no safe way to help others. */
    private canNumberOthers = true;
    private hasPendingRows = false;

    /**
     * @param table - the platform's table
     * @param retries - how often the registration is attempted
     * @param clock - source of time
     * @param agents - remembers the rows for later renewals
     * @param registrations - the agents
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
     * @returns their numbers in the order given, or why not all rows are known to be durable
     */
    public async register(): Promise<Result<readonly number[], PlatformError>> {
        let failure = new PlatformError("conflict", "Too many agents register at once; wait a second and try again");
        for (let attempt = 0; attempt < this.retries.maximumAttempts && this.unregistered.size > 0; attempt += 1) {
            // A pending agent leaves others time to number it.
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

    /** Looks first whether someone else has numbered the agents. */
    private async attemptAfterReadBack(): Promise<Result<void, PlatformError>> {
        const found = await this.readBack();
        return found.err || this.unregistered.size === 0 ? found : this.attemptRegistration();
    }

    /** Numbers this process's agents, and others' pending ones, in one transaction. */
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
        // A counter that was deleted must not hand out the numbers of rows that are still there.
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
            const agent = parseRow(row, unnumberedSchema);
            const isSelectable = this.canNumberOthers && !this.isOwnPendingRow(row)
                && !this.alreadyRegisteredKeys.has(row.key);
            if (isSelectable && agent.ok && agent.val.renewedAtMilliseconds >= oldest) {
                selected.set(row.key, agent.val);
            }
        }
        return selected;
    }

    /** Each agent, own or helped, may need an insertion and the deletion of its pending row. */
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

    /** Tells whether a failed attempt leaves open that some of the agents have rows. */
    private mayBeRegistered(error: PlatformError): boolean {
        const onlyCounter = error.conflictingKeys.length > 0 && error.conflictingKeys.every(key => key === counterKey);
        return this.hasPendingRows || !onlyCounter;
    }

    /** Finds agents whose rows are there already, by this process or another one. */
    private async readBack(): Promise<Result<void, PlatformError>> {
        const [first] = this.unregistered.keys();
        const prefix = this.unregistered.size === 1 ? `${agentPrefix}${first}` : agentPrefix;
        const rows = await this.table.list(prefix);
        if (rows.err) {
            return rows;
        }
        const wanted = new Set([...this.unregistered.keys()].map(incarnation => agentPrefix + incarnation));
        for (const row of rows.val.filter(candidate => wanted.has(candidate.key))) {
            const agent = parseRow(row, agentSchema).andThen(value => checkServing(row.key, value));
            if (agent.err) {
                return agent;
            }
            this.recordRegistration(agent.val, row.etag);
        }
        return Ok(undefined);
    }

    /** Leaves pending rows for whoever wins the counter next; without them the agents only wait longer. */
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

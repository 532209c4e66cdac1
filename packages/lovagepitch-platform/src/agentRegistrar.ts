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
const maximumHelpedAgents = 200;
/** Pending rows that are older may be of agents that gave up, so only their owners number them. */
const pendingLifetimeMilliseconds = 60_000;
/** Writes that an agent with a pending row takes. */
const writesPerAgent = 2;
/** How many steps of backoff a pending agent is ahead of its attempts. */
const pendingBackoffSteps = 2;

/** The counter and the pending rows as of one instant. */
interface Numbering {
    readonly lastNumber: number;
    readonly counterCondition: WriteCondition;
    readonly pendingRows: readonly TableRow[];
}

/** One registration of one or many agents. */
export class AgentRegistrar {
    private readonly missing: Map<Incarnation, UnnumberedRegistration>;
    private readonly numbers = new Map<Incarnation, number>();
    /** Others' pending agents whose rows stood in the way, because they were registered before. */
    private readonly registeredBefore = new Set<string>();
    /** A service that does not name conflicting rows leaves no safe way to help others. */
    private mayHelp = true;
    private isPending = false;

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
        this.missing = new Map(registrations.map(registration => [registration.incarnation, registration]));
    }

    /**
     * Registers the agents; idempotent by incarnation.
     *
     * @returns their numbers in the order given, or why not all rows are known to be durable
     */
    public async register(): Promise<Result<readonly number[], PlatformError>> {
        let failure = new PlatformError("conflict", "Too many agents register at once; wait a second and try again");
        for (let attempt = 0; attempt < this.retries.maximumAttempts && this.missing.size > 0; attempt += 1) {
            // A pending agent leaves others time to number it.
            await this.retries.waitBefore(this.isPending ? attempt + pendingBackoffSteps : attempt);
            const attempted = this.isPending ? await this.attemptPending() : await this.attempt();
            if (attempted.ok) {
                continue;
            }
            if (attempted.val.kind === "throttled" || attempted.val.kind === "invalid") {
                return Err(failure.kind === "unavailable" ? failure : attempted.val);
            }
            failure = attempted.val.kind === "unavailable" ? attempted.val : failure;
            const found = this.canBeRegistered(attempted.val) ? await this.readBack() : Ok(undefined);
            if (found.err) {
                return found;
            }
            await this.announce();
        }
        if (this.missing.size > 0) {
            return Err(failure);
        }
        return Ok(this.registrations.map(registration => Number(this.numbers.get(registration.incarnation))));
    }

    /** Looks first whether someone else has numbered the agents. */
    private async attemptPending(): Promise<Result<void, PlatformError>> {
        const found = await this.readBack();
        return found.err || this.missing.size === 0 ? found : this.attempt();
    }

    /** Numbers this process's agents, and others' pending ones, in one transaction. */
    private async attempt(): Promise<Result<void, PlatformError>> {
        const numbering = await this.readNumbering();
        if (numbering.err) {
            return numbering;
        }
        const { lastNumber, counterCondition, pendingRows } = numbering.val;
        const helped = this.selectHelped(pendingRows);
        const added = [...this.missing.values(), ...helped.values()];
        const numbered = added.map((agent, index) => ({ ...agent, number: lastNumber + index + 1 }));
        const raise = { lastNumber: lastNumber + numbered.length };
        const settled = pendingRows.filter(row => {
            return this.isOwn(row) || helped.has(row.key) || this.registeredBefore.has(row.key);
        });
        const written = await this.table.write([
            { key: counterKey, condition: counterCondition, value: raise },
            ...numbered.map(createInsert),
            ...settled.map(createDeletion),
        ]);
        if (written.err) {
            this.learnFromConflict(written.val, helped);
            return written;
        }
        numbered.slice(0, this.missing.size).forEach((agent, index) => {
            this.settle(agent, String(written.val[index + 1]));
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

    private selectHelped(pendingRows: readonly TableRow[]): ReadonlyMap<string, UnnumberedRegistration> {
        const oldest = this.clock.nowMilliseconds() - pendingLifetimeMilliseconds;
        const helped = new Map<string, UnnumberedRegistration>();
        const limit = this.computeHelpLimit();
        for (const row of pendingRows) {
            if (helped.size >= limit) {
                break;
            }
            const agent = parseRow(row, unnumberedSchema);
            const isHelped = this.mayHelp && !this.isOwn(row) && !this.registeredBefore.has(row.key);
            if (isHelped && agent.ok && agent.val.renewedAtMilliseconds >= oldest) {
                helped.set(row.key, agent.val);
            }
        }
        return helped;
    }

    /** Each agent, own or helped, may need an insertion and the deletion of its pending row. */
    private computeHelpLimit(): number {
        const spareWrites = maximumTransactionWrites - 1 - this.registeredBefore.size
            - writesPerAgent * this.missing.size;
        return Math.min(maximumHelpedAgents, Math.floor(spareWrites / writesPerAgent));
    }

    private learnFromConflict(error: PlatformError, helped: ReadonlyMap<string, UnnumberedRegistration>): void {
        if (error.kind !== "conflict") {
            return;
        }
        this.mayHelp = this.mayHelp && error.conflictingKeys.length > 0;
        for (const [pendingKey, agent] of helped) {
            if (error.conflictingKeys.includes(agentPrefix + agent.incarnation)) {
                this.registeredBefore.add(pendingKey);
            }
        }
    }

    /** Tells whether a failed attempt leaves open that some of the agents have rows. */
    private canBeRegistered(error: PlatformError): boolean {
        const onlyCounter = error.conflictingKeys.length > 0 && error.conflictingKeys.every(key => key === counterKey);
        return this.isPending || !onlyCounter;
    }

    /** Finds agents whose rows are there already, by this process or another one. */
    private async readBack(): Promise<Result<void, PlatformError>> {
        const [first] = this.missing.keys();
        const prefix = this.missing.size === 1 ? `${agentPrefix}${first}` : agentPrefix;
        const rows = await this.table.list(prefix);
        if (rows.err) {
            return rows;
        }
        const wanted = new Set([...this.missing.keys()].map(incarnation => agentPrefix + incarnation));
        for (const row of rows.val.filter(candidate => wanted.has(candidate.key))) {
            const agent = parseRow(row, agentSchema).andThen(value => checkServing(row.key, value));
            if (agent.err) {
                return agent;
            }
            this.settle(agent.val, row.etag);
        }
        return Ok(undefined);
    }

    /** Leaves pending rows for whoever wins the counter next; without them the agents only wait longer. */
    private async announce(): Promise<void> {
        if (this.isPending || this.missing.size === 0) {
            return;
        }
        const written = await this.table.write([...this.missing.values()].map(createPending));
        this.isPending = written.ok;
    }

    private settle(agent: AgentRegistration, etag: string): void {
        this.agents.remember(agentPrefix + agent.incarnation, agent, etag);
        this.numbers.set(agent.incarnation, agent.number);
        this.missing.delete(agent.incarnation);
    }

    private isOwn(pendingRow: TableRow): boolean {
        return this.missing.has(pendingRow.key.slice(pendingPrefix.length));
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

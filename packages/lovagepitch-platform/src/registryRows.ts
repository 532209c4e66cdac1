/**
 * Rows of the registry in the platform's table.
 */
import type { AgentRegistration, EntryRegistration, Registry } from "@lovagepitch/types/registry";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { describeFault, validateValue } from "@lovagepitch/utils/validateValue";
import { z } from "zod";
import { PlatformError } from "./platformError.js";
import type { TableRow } from "./tableService.js";

/** Key prefix of all rows of the registry. */
export const registryPrefix = "registry/";
/** Key prefix of the counter and the pending rows. */
export const numberingPrefix = `${registryPrefix}numbering/`;
/** Key of the counter of agent registrations. */
export const counterKey = `${numberingPrefix}counter`;
/** Key prefix of the pending rows: agents that wait for a number. */
export const pendingPrefix = `${numberingPrefix}pending/`;
/** Key prefix of the rows of agents. */
export const agentPrefix = `${registryPrefix}agent/`;
/** Key prefix of the rows of entries. */
export const entryPrefix = `${registryPrefix}entry/`;

/** Schema of the counter of agent registrations. */
export const counterSchema = z.object({ lastNumber: z.int().min(0) });

/** An agent's registration before it has a number. */
export type UnnumberedRegistration = Omit<AgentRegistration, "number">;

const unnumberedAgentObject = z.object({
    address: z.string(),
    incarnation: z.string(),
    worker: z.string(),
    rack: z.string(),
    availabilityZone: z.string(),
    cores: z.number(),
    memoryMegabytes: z.number(),
    state: z.enum(["serving", "left"]),
    renewedAtMilliseconds: z.number(),
});

/** Schema of the pending row of an agent. */
export const unnumberedAgentSchema: z.ZodType<UnnumberedRegistration> = unnumberedAgentObject;

/** Schema of the row of an agent. */
export const agentSchema: z.ZodType<AgentRegistration> = unnumberedAgentObject.extend({ number: z.int().min(1) });

/** Schema of the row of an entry. */
export const entrySchema: z.ZodType<EntryRegistration> = z.object({
    address: z.string(),
    incarnation: z.string(),
    availabilityZone: z.string(),
    state: z.enum(["serving", "left"]),
    renewedAtMilliseconds: z.number(),
});

/**
 * Validates the value of a row.
 *
 * @param row - row of the table
 * @param schema - schema of its value
 * @returns the validated value, or the error that names the row
 */
export function parseRow<Value>(row: TableRow, schema: z.ZodType<Value>): Result<Value, PlatformError> {
    return validateValue(schema, row.value).mapErr(issue => {
        const problem = describeFault(issue);
        return new PlatformError("invalid", `The row ${row.key} is malformed; repair or delete it (${problem})`);
    });
}

/**
 * Parses a registry from its rows. One malformed row fails all, because no agent may be missing from a registry.
 *
 * @param rows - all rows of one listing
 * @returns the registry, or the error that names a malformed row
 */
export function parseRegistry(rows: readonly TableRow[]): Result<Registry, PlatformError> {
    const agents: AgentRegistration[] = [];
    const entries: EntryRegistration[] = [];
    let version = 0;
    for (const row of rows) {
        if (row.key === counterKey) {
            const counter = parseRow(row, counterSchema);
            if (counter.err) {
                return counter;
            }
            version = Math.max(version, counter.val.lastNumber);
        }
        else if (row.key.startsWith(agentPrefix)) {
            const agent = parseRow(row, agentSchema);
            if (agent.err) {
                return agent;
            }
            agents.push(agent.val);
            version = Math.max(version, agent.val.number);
        }
        else if (row.key.startsWith(entryPrefix)) {
            const entry = parseRow(row, entrySchema);
            if (entry.err) {
                return entry;
            }
            entries.push(entry.val);
        }
    }
    return Ok({ version, agents, entries });
}

/**
 * Checks that a row is in state "serving". A row in state "left" never serves again, because its handover object may
 * already have been read.
 *
 * @param key - the row's key
 * @param row - the row's value
 * @returns the value, or the error that says how to register again
 */
export function checkServing<Row extends AgentRegistration | EntryRegistration>(
    key: string,
    row: Row,
): Result<Row, PlatformError> {
    if (row.state === "serving") {
        return Ok(row);
    }
    const message = `The row ${key} is in state "left"; restart the process to register again`;
    return Err(new PlatformError("conflict", message));
}

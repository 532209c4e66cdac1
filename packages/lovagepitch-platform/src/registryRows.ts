/**
 * Rows of the registry in the platform's table.
 */
import type { AgentRegistration, EntryRegistration, Registry } from "@lovagepitch/types/registry";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { z } from "zod";
import { PlatformError } from "./platformError.js";
import type { TableRow } from "./tableService.js";

/** Start of the keys of all rows of the registry. */
export const registryPrefix = "registry/";
/** Start of the keys of the rows that numbering needs. */
export const numberingPrefix = `${registryPrefix}numbering/`;
/** Key of the row that counts agent registrations. */
export const counterKey = `${numberingPrefix}counter`;
/** Start of the keys of agents that wait for a number. */
export const pendingPrefix = `${numberingPrefix}pending/`;
/** Start of the keys of agents' rows. */
export const agentPrefix = `${registryPrefix}agent/`;
/** Start of the keys of entries' rows. */
export const entryPrefix = `${registryPrefix}entry/`;

/** The row that counts agent registrations. */
export const counterSchema = z.object({ lastNumber: z.int().min(0) });

/** An agent's registration before it has a number. */
export type UnnumberedRegistration = Omit<AgentRegistration, "number">;

const unnumberedObject = z.object({
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

/** The row of an agent that waits for a number. */
export const unnumberedSchema: z.ZodType<UnnumberedRegistration> = unnumberedObject;

/** The row of an agent. */
export const agentSchema: z.ZodType<AgentRegistration> = unnumberedObject.extend({ number: z.int().min(1) });

/** The row of an entry. */
export const entrySchema: z.ZodType<EntryRegistration> = z.object({
    address: z.string(),
    incarnation: z.string(),
    availabilityZone: z.string(),
    state: z.enum(["serving", "left"]),
    renewedAtMilliseconds: z.number(),
});

/**
 * Checks what a row holds.
 *
 * @param row - the row
 * @param schema - what it must hold
 * @returns the checked value, or the error that names the row
 */
export function parseRow<Value>(row: TableRow, schema: z.ZodType<Value>): Result<Value, PlatformError> {
    const parsed = schema.safeParse(row.value);
    if (parsed.success) {
        return Ok(parsed.data);
    }
    const problem = z.prettifyError(parsed.error);
    return Err(new PlatformError("invalid", `The row ${row.key} is malformed; repair or delete it (${problem})`));
}

/**
 * Reads a registry from its rows. One malformed row fails the whole, because a registry must never lack an agent.
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
 * Checks that a row has not left; a row that left never serves again, because sweeps read what its process left behind.
 *
 * @param key - the row's key
 * @param row - the row's value
 * @returns the value, or the error that says how to register anew
 */
export function checkServing<Row extends AgentRegistration | EntryRegistration>(
    key: string,
    row: Row,
): Result<Row, PlatformError> {
    if (row.state === "serving") {
        return Ok(row);
    }
    const message = `The row ${key} has left for good; restart the process, so that it registers anew`;
    return Err(new PlatformError("conflict", message));
}

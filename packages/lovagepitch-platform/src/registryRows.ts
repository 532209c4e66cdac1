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
/** Key of the row that counts agent registrations. */
export const counterKey = `${registryPrefix}counter`;
/** Start of the keys of agents' rows. */
export const agentPrefix = `${registryPrefix}agent/`;
/** Start of the keys of entries' rows. */
export const entryPrefix = `${registryPrefix}entry/`;

/** The row that counts agent registrations. */
export const counterSchema = z.object({ lastNumber: z.int().min(0) });

/** The row of an agent. */
export const agentSchema: z.ZodType<AgentRegistration> = z.object({
    address: z.string(),
    incarnation: z.string(),
    worker: z.string(),
    rack: z.string(),
    availabilityZone: z.string(),
    cores: z.number(),
    memoryMegabytes: z.number(),
    number: z.int().min(1),
    state: z.enum(["serving", "left"]),
    renewedAtMilliseconds: z.number(),
});

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

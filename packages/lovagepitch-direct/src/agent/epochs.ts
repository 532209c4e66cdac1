/**
 * Epochs of an agent's calls to its worker, which rejects calls with a lower epoch than it has seen.
 */
import type { AgentIdentity } from "./agentState.js";

/** Number of epochs of one unit of the worker's clock; which of them a process takes depends on its incarnation. */
const epochsPerUnit = 2 ** 10;

/** Unit of the clock of a worker that reports its start, in milliseconds; an agent that restarts takes longer. */
const clockUnitMilliseconds = 100;

/** Number of clock units of one start; the clock's part begins again with 0 after that many. */
const unitsPerStart = 2 ** 15;

/** Unit in which epochs distinguish starts of a worker, in milliseconds; a life lasts longer. */
const startUnitMilliseconds = 1024;

/** Number of starts that epochs distinguish, so that every epoch is a safe integer; 8.7 years in their unit. */
const distinguishedStarts = 2 ** 28;

/** Factors of a hash of the incarnation (FNV-1a of 32 bits). */
const hashOffset = 0x811c9dc5;
const hashPrime = 0x01000193;

/** What a worker says of itself. */
export interface WorkerInstant {
    /** Start of the worker, in Unix milliseconds; undefined when the worker does not report it. */
    readonly startedAt?: number | undefined;
    /** Worker's monotonic clock, in milliseconds. */
    readonly workerClock: number;
}

/**
 * Derives the epoch of an agent process from its worker's start, within one life from the worker's clock, which only
 * increases, and from its own incarnation. It is above those of earlier processes, also of those that knew an earlier life
 * of the worker, whose clock had another origin, so a delayed order of these takes no effect any more. Two processes that
 * live at the same time do not hold the same one.
 *
 * @param identity - identity of the process
 * @param worker - start and clock of the worker
 * @param formerEpoch - epoch that this process has used before; 0 without one
 * @returns the epoch
 */
export function deriveEpoch(
    identity: Pick<AgentIdentity, "incarnation">,
    worker: WorkerInstant,
    formerEpoch: number,
): number {
    const { startedAt, workerClock } = worker;
    const formerUnit = Math.floor(formerEpoch / epochsPerUnit);
    const part = hashIncarnation(identity.incarnation) % epochsPerUnit;
    const takeUnit = (unit: number, increase: number): number => {
        const epoch = unit * epochsPerUnit + part;
        return epoch > formerEpoch ? epoch : (formerUnit + increase) * epochsPerUnit + part;
    };
    if (startedAt === undefined) {
        // Earlier versions took the clock in milliseconds.
        return takeUnit(Math.floor(workerClock / epochsPerUnit) + 1, 1);
    }
    // Rounded up, so that it is above those of earlier versions, which did not round.
    const startUnit = (Math.floor(startedAt / startUnitMilliseconds) + 1) % distinguishedStarts;
    const clockUnit = Math.floor(workerClock / clockUnitMilliseconds) % unitsPerStart;
    // The clock's part of an earlier process may be higher; doubling exceeds it after a few rejections.
    return takeUnit(startUnit * unitsPerStart + clockUnit, Math.max(1, formerUnit % unitsPerStart));
}

/**
 * Hashes an incarnation.
 *
 * @param incarnation - unique name of a process
 * @returns an integer of 32 bits
 */
export function hashIncarnation(incarnation: string): number {
    let hash = hashOffset;
    for (let index = 0; index < incarnation.length; index += 1) {
        hash = Math.imul(hash ^ incarnation.charCodeAt(index), hashPrime);
    }
    return (hash ^ hash >>> 16) >>> 0;
}

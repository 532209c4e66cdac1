/**
 * Incarnations of processes.
 */
import type { Incarnation } from "@lovagepitch/types/identity";
import { randomBytes } from "node:crypto";

/** Enough that two lives of a process never share a value by chance. */
const incarnationBytes = 8;

/**
 * Draws an incarnation at the start of a process.
 *
 * @returns lower-case hexadecimal digits
 */
export function createIncarnation(): Incarnation {
    return randomBytes(incarnationBytes).toString("hex");
}

/**
 * Creation of process incarnations.
 */
import type { Incarnation } from "@lovagepitch/types/identity";
import { randomBytes } from "node:crypto";

/** Long enough that two incarnations of a process never get the same value by chance. */
const incarnationBytes = 8;

/**
 * Creates a random incarnation at the start of a process.
 *
 * @returns lower-case hexadecimal digits
 */
export function createIncarnation(): Incarnation {
    return randomBytes(incarnationBytes).toString("hex");
}

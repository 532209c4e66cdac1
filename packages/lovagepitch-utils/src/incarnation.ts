/**
 * Creation of process incarnations.
 */
import type { Incarnation } from "@lovagepitch/types/identity";
import { randomBytes } from "node:crypto";

/** Number of random bytes, large enough to make equal values of two incarnations practically impossible. */
const incarnationBytes = 8;

/**
 * Creates a random incarnation at the start of a process.
 *
 * @returns lower-case hexadecimal digits
 */
export function createIncarnation(): Incarnation {
    return randomBytes(incarnationBytes).toString("hex");
}

/**
 * Type guards for the values that messages between processes consist of.
 */
import type { Resources } from "../model/resources.js";
import { isSocketAddress } from "./listenAt.js";

/** Fields of a JSON object whose types are not known. */
export type Unchecked<Message> = { readonly [Name in keyof Message]?: unknown };

/**
 * Tells whether a value is an object, whose fields are to be checked.
 *
 * @param value - value to check
 * @returns true when it is
 */
export function isObject<Message>(value: unknown): value is Unchecked<Message> {
    return typeof value === "object" && value !== null;
}

/**
 * Tells whether a value is an array of elements that a guard accepts.
 *
 * @param value - value to check
 * @param isElement - guard of the elements
 * @returns true when it is
 */
export function isArrayOf(value: unknown, isElement: (element: unknown) => boolean): boolean {
    return Array.isArray(value) && value.every(isElement);
}

/**
 * Tells whether a value is missing, or one that a guard accepts.
 *
 * @param value - value to check
 * @param isPresent - guard of the value
 * @returns true when it is
 */
export function isOptional(value: unknown, isPresent: (present: unknown) => boolean): boolean {
    return value === undefined || isPresent(value);
}

/**
 * Tells whether a value is a boolean.
 *
 * @param value - value to check
 * @returns true when it is
 */
export function isBoolean(value: unknown): value is boolean {
    return typeof value === "boolean";
}

/**
 * Tells whether a value is a string.
 *
 * @param value - value to check
 * @returns true when it is
 */
export function isString(value: unknown): value is string {
    return typeof value === "string";
}

/**
 * Tells whether a value is an integer that is not less than a minimum.
 *
 * @param minimum - least integer
 * @param value - value to check
 * @returns true when it is
 */
export function isIntegerFrom(minimum: number, value: unknown): value is number {
    return Number.isSafeInteger(value) && Number(value) >= minimum;
}

/**
 * Tells whether a value is a finite number.
 *
 * @param value - value to check
 * @returns true when it is
 */
export function isNumber(value: unknown): value is number {
    return Number.isFinite(value);
}

/**
 * Tells whether a value is a host and a port that can be connected to.
 *
 * @param value - value to check
 * @returns true when it is
 */
export function isAddress(value: unknown): boolean {
    return isString(value) && isSocketAddress(value);
}

/**
 * Tells whether a value names amounts of resources.
 *
 * @param value - value to check
 * @returns true when it is
 */
export function isResources(value: unknown): value is Resources {
    return isObject<Resources>(value) && isNumber(value.milliCores) && isNumber(value.memoryMegabytes)
        && isNumber(value.accelerators);
}

/**
 * Tells whether a value names amounts of resources that a task may need; negative ones would count as free.
 *
 * @param value - value to check
 * @returns true when it is
 */
export function isNeeds(value: unknown): boolean {
    return isResources(value) && value.milliCores >= 0 && value.memoryMegabytes >= 0 && value.accelerators >= 0;
}

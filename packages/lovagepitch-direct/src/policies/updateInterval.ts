/**
 * Load pattern: the free capacity of a worker changes with every start and end, up to a hundred times a second, and each
 * change reported to every connected entry costs both ends a message. An entry whose tasks wait is told of freed
 * capacity at once; to the others a figure as old as a heartbeat is good enough, since their own starts and ends refresh
 * it.
 */

/** Interval of changes to an entry whose tasks wait for capacity, in milliseconds. */
const urgentIntervalMilliseconds = 6;

/** Interval of changes to any other entry, in milliseconds. */
const usualIntervalMilliseconds = 100;

/**
 * Returns the interval within which changes of free capacity share a message.
 *
 * @param awaitsCapacity - true while the receiving entry has tasks that wait for capacity
 * @returns interval in milliseconds
 */
export function getUpdateIntervalMilliseconds(awaitsCapacity: boolean): number {
    return awaitsCapacity ? urgentIntervalMilliseconds : usualIntervalMilliseconds;
}

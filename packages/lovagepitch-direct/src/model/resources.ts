/**
 * Resources that a task occupies on a worker, and arithmetic on them.
 */

/** Amounts of the resources of a worker. */
export interface Resources {
    /** Thousandths of a processor core. */
    readonly milliCores: number;
    readonly memoryMegabytes: number;
    readonly accelerators: number;
}

/** Zero of every resource. */
export const noResources: Resources = { milliCores: 0, memoryMegabytes: 0, accelerators: 0 };

/**
 * Adds resources, each kind by itself.
 *
 * @param left - first summand
 * @param right - second summand
 * @returns the sum of each resource
 */
export function addResources(left: Resources, right: Resources): Resources {
    return {
        milliCores: left.milliCores + right.milliCores,
        memoryMegabytes: left.memoryMegabytes + right.memoryMegabytes,
        accelerators: left.accelerators + right.accelerators,
    };
}

/**
 * Subtracts resources, each kind by itself.
 *
 * @param left - resources to subtract from
 * @param right - resources to subtract
 * @returns the difference; a field is negative where `right` exceeds `left`
 */
export function subtractResources(left: Resources, right: Resources): Resources {
    return {
        milliCores: left.milliCores - right.milliCores,
        memoryMegabytes: left.memoryMegabytes - right.memoryMegabytes,
        accelerators: left.accelerators - right.accelerators,
    };
}

/**
 * Multiplies every resource by a factor.
 *
 * @param resources - resources to multiply
 * @param factor - multiplier
 * @returns the product of each resource
 */
export function scaleResources(resources: Resources, factor: number): Resources {
    return {
        milliCores: resources.milliCores * factor,
        memoryMegabytes: resources.memoryMegabytes * factor,
        accelerators: resources.accelerators * factor,
    };
}

/**
 * Counts how many tasks of one size fit into free resources.
 *
 * @param needs - resources that one task occupies
 * @param available - free resources
 * @returns an integer, negative when a resource is already overcommitted
 */
export function countFittingTasks(needs: Resources, available: Resources): number {
    const divide = (need: number, free: number): number => need > 0 ? free / need : Number.POSITIVE_INFINITY;
    const count = Math.min(
        divide(needs.milliCores, available.milliCores),
        divide(needs.memoryMegabytes, available.memoryMegabytes),
        divide(needs.accelerators, available.accelerators),
    );
    return Math.floor(count);
}

/**
 * Tells whether a task fits into free resources.
 *
 * @param needs - resources that the task occupies
 * @param available - free resources
 * @returns true when every resource is sufficient
 */
export function fitsInto(needs: Resources, available: Resources): boolean {
    return needs.milliCores <= available.milliCores
        && needs.memoryMegabytes <= available.memoryMegabytes
        && needs.accelerators <= available.accelerators;
}

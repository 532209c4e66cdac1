/**
 * What a task occupies on a worker, and what a worker has.
 */

/** Amounts of a worker's resources. */
export interface Resources {
    /** Thousandths of a processor core. */
    readonly milliCores: number;
    readonly memoryMegabytes: number;
    readonly accelerators: number;
}

/** Nothing at all. */
export const noResources: Resources = { milliCores: 0, memoryMegabytes: 0, accelerators: 0 };

/**
 * Adds amounts.
 *
 * @param left - one amount
 * @param right - another amount
 * @returns the sum
 */
export function addResources(left: Resources, right: Resources): Resources {
    return {
        milliCores: left.milliCores + right.milliCores,
        memoryMegabytes: left.memoryMegabytes + right.memoryMegabytes,
        accelerators: left.accelerators + right.accelerators,
    };
}

/**
 * Subtracts amounts.
 *
 * @param left - what there is
 * @param right - what is taken away
 * @returns the rest; a field is negative where more was taken than there is
 */
export function subtractResources(left: Resources, right: Resources): Resources {
    return {
        milliCores: left.milliCores - right.milliCores,
        memoryMegabytes: left.memoryMegabytes - right.memoryMegabytes,
        accelerators: left.accelerators - right.accelerators,
    };
}

/**
 * Multiplies amounts.
 *
 * @param resources - the amounts
 * @param factor - how many times
 * @returns the product
 */
export function scaleResources(resources: Resources, factor: number): Resources {
    return {
        milliCores: resources.milliCores * factor,
        memoryMegabytes: resources.memoryMegabytes * factor,
        accelerators: resources.accelerators * factor,
    };
}

/**
 * Counts how many tasks of one size find room.
 *
 * @param needs - what one task occupies
 * @param available - what is free
 * @returns a whole number, negative where something is missing already
 */
export function countFits(needs: Resources, available: Resources): number {
    const fits = (need: number, free: number): number => need > 0 ? free / need : Number.POSITIVE_INFINITY;
    const count = Math.min(
        fits(needs.milliCores, available.milliCores),
        fits(needs.memoryMegabytes, available.memoryMegabytes),
        fits(needs.accelerators, available.accelerators),
    );
    return Math.floor(count);
}

/**
 * Tells whether a task finds room.
 *
 * @param needs - what the task occupies
 * @param available - what is free
 * @returns true when every resource suffices
 */
export function fitsInto(needs: Resources, available: Resources): boolean {
    return needs.milliCores <= available.milliCores
        && needs.memoryMegabytes <= available.memoryMegabytes
        && needs.accelerators <= available.accelerators;
}

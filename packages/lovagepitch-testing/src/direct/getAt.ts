/**
 * Checked access to the processes of a simulated deployment by index.
 */

/**
 * Reads an item by index.
 *
 * @param items - processes of one role
 * @param index - position of the item, starting at 0
 * @returns the item
 * @throws RangeError if the index is out of range
 */
export function getAt<Item>(items: readonly Item[], index: number): Item {
    const item = items[index];
    if (item === undefined) {
        throw new RangeError(
            `the deployment has ${items.length} processes of this role; index ${index} is out of range`,
        );
    }
    return item;
}

/**
 * Access to the parts of a tested deployment by number.
 */

/**
 * Reads an item that has to be there.
 *
 * @param items - the items
 * @param index - number of the item, from 0
 * @returns the item
 * @throws RangeError when there is none
 */
export function getAt<Item>(items: readonly Item[], index: number): Item {
    const item = items[index];
    if (item === undefined) {
        throw new RangeError(`the deployment has ${items.length} of these; there is no number ${index}`);
    }
    return item;
}

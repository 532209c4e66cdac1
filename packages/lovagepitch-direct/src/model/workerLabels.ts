/**
 * Bound on the labels of a worker that are used: they go to every entry, to the record of the worker and into log lines.
 */

/** Largest number of labels that are used, and of their characters together. */
const maximumLabels = 1000;
const maximumCharacters = 8000;

/**
 * Selects the labels of a worker that are used. Without a label, a worker only gets fewer tasks.
 *
 * @param labels - reported or recorded labels
 * @returns the first ones, up to the limits
 */
export function limitLabels(labels: readonly string[]): readonly string[] {
    let characters = 0;
    const end = labels.findIndex((label, index) => {
        characters += label.length;
        return index >= maximumLabels || characters > maximumCharacters;
    });
    return end < 0 ? labels : labels.slice(0, end);
}

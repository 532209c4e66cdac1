/**
 * Reads metrics in the text form of Prometheus.
 */

/**
 * Reads the samples that have no label.
 *
 * @param text - the exposition
 * @returns values by name
 */
export function parseMetrics(text: string): ReadonlyMap<string, number> {
    const values = new Map<string, number>();
    for (const line of text.split("\n")) {
        const match = /^([a-zA-Z_:]\w*) (\S+)$/.exec(line);
        if (match !== null) {
            values.set(match[1]!, Number(match[2]));
        }
    }
    return values;
}

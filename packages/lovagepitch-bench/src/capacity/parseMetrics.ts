/**
 * Parses metrics in the Prometheus text format.
 */

/**
 * Parses the samples without labels; all other lines are ignored.
 *
 * @param text - metrics in the Prometheus text format
 * @returns values by metric name
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

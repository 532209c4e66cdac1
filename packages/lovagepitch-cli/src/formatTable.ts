/**
 * Tables for terminals.
 */

const columnGap = "  ";

/**
 * Aligns the cells of rows in columns.
 *
 * @param rows - rows of as many cells each
 * @returns one line per row
 */
export function formatTable(rows: readonly (readonly string[])[]): readonly string[] {
    const columns = rows[0]?.length ?? 0;
    const widths = Array.from({ length: columns }, (_unused, column) => {
        return Math.max(...rows.map(row => row[column]?.length ?? 0));
    });
    return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(columnGap).trimEnd());
}

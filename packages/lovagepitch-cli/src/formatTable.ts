/**
 * Plain-text tables for the terminal.
 */

const columnGap = "  ";

/**
 * Pads the cells of each column to equal width.
 *
 * @param rows - rows with an equal number of cells
 * @returns one line per row
 */
export function formatTable(rows: readonly (readonly string[])[]): readonly string[] {
    const columnCount = rows[0]?.length ?? 0;
    const widths = Array.from({ length: columnCount }, (_unused, column) => {
        return Math.max(...rows.map(row => row[column]?.length ?? 0));
    });
    return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(columnGap).trimEnd());
}

/**
 * What an experiment measured, and its printed form.
 */
import { fitLeastSquares, type LinearFit, type Observation } from "./leastSquares.js";

/** Values of one measured size, by column. */
export type MeasuredRow = Readonly<Record<string, number | string>>;

/** A line fitted to some columns. */
export interface FittedQuantity {
    readonly quantity: string;
    readonly unit: string;
    readonly variables: readonly string[];
    readonly fit: LinearFit;
}

/** An experiment's outcome. */
export interface ExperimentResult {
    readonly rows: readonly MeasuredRow[];
    readonly fits: readonly FittedQuantity[];
}

/** One experiment. */
export abstract class Experiment {
    /** Name on the command line. */
    public abstract readonly name: string;
    /** What it measures, in one line. */
    public abstract readonly description: string;

    /**
     * Measures.
     *
     * @returns what was seen
     */
    public abstract run(): Promise<ExperimentResult>;
}

/**
 * Fits a column of the rows to other columns.
 *
 * @param rows - the rows
 * @param quantity - column to explain
 * @param unit - its unit
 * @param variables - columns that explain it
 * @returns the line
 */
export function fitColumn(
    rows: readonly MeasuredRow[],
    quantity: string,
    unit: string,
    variables: readonly string[],
): FittedQuantity {
    const observations = rows.map((row): Observation => ({
        inputs: variables.map(variable => Number(row[variable])),
        output: Number(row[quantity]),
    }));
    return { quantity, unit, variables, fit: fitLeastSquares(observations) };
}

/**
 * Names a fit more closely.
 *
 * @param fitted - the fit
 * @param quantity - the name
 * @returns the fit under that name
 */
export function renameFit(fitted: FittedQuantity, quantity: string): FittedQuantity {
    return { ...fitted, quantity };
}

/**
 * Writes a result as tables of Markdown.
 *
 * @param result - the result
 * @returns the text
 */
export function formatResult({ rows, fits }: ExperimentResult): string {
    const lines: string[] = [];
    const columns = Object.keys(rows[0] ?? {});
    if (columns.length > 0) {
        lines.push(writeRow(columns), writeRow(columns.map(() => "---")));
        lines.push(...rows.map(row => writeRow(columns.map(column => formatValue(row[column])))), "");
    }
    if (fits.length > 0) {
        const heads = ["quantity", "unit", "at 0", "slopes", "residual", "share explained", "points"];
        lines.push(writeRow(heads), writeRow(heads.map(() => "---")));
        lines.push(...fits.map(writeFit));
    }
    return lines.join("\n");
}

function writeFit({ quantity, unit, variables, fit }: FittedQuantity): string {
    const slopes = variables.map((variable, position) => `${formatValue(fit.slopes[position])} per ${variable}`);
    return writeRow([
        quantity,
        unit,
        formatValue(fit.intercept),
        slopes.join(", "),
        formatValue(fit.residual),
        fit.determination.toFixed(3),
        String(fit.points),
    ]);
}

function writeRow(cells: readonly string[]): string {
    return `| ${cells.join(" | ")} |`;
}

function formatValue(value: number | string | undefined): string {
    if (typeof value !== "number") {
        return value ?? "";
    }
    return Number.isInteger(value) ? String(value) : String(Number(value.toPrecision(4)));
}

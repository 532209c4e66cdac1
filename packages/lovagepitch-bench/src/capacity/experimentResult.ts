/**
 * Result of an experiment, and its output as Markdown tables.
 */
import { fitLeastSquares, type LinearFit, type Observation } from "./fitLeastSquares.js";

/** Values measured at one size of the deployment, by column. */
export type MeasuredRow = Readonly<Record<string, number | string>>;

/** Linear fit of one column over other columns. */
export interface FittedQuantity {
    readonly quantity: string;
    readonly unit: string;
    readonly variables: readonly string[];
    readonly fit: LinearFit;
}

/** Measured rows and fits of an experiment. */
export interface ExperimentResult {
    readonly rows: readonly MeasuredRow[];
    readonly fits: readonly FittedQuantity[];
}

/** A measurement that the command line can run. */
export abstract class Experiment {
    /** Name on the command line. */
    public abstract readonly name: string;
    /** One-line description for the command's usage. */
    public abstract readonly description: string;

    /**
     * Runs the measurement.
     *
     * @returns measured rows and fits
     */
    public abstract run(): Promise<ExperimentResult>;
}

/**
 * Fits a column of the rows as a linear function of other columns.
 *
 * @param rows - measured rows
 * @param quantity - dependent column
 * @param unit - unit of the dependent column
 * @param variables - independent columns
 * @returns the fit
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
 * Replaces the name of a fit's quantity.
 *
 * @param fitted - fit to rename
 * @param quantity - new name of the quantity
 * @returns a copy with the new name
 */
export function renameFit(fitted: FittedQuantity, quantity: string): FittedQuantity {
    return { ...fitted, quantity };
}

/**
 * Formats a result as Markdown tables.
 *
 * @param result - result of an experiment
 * @returns Markdown text
 */
export function formatResult({ rows, fits }: ExperimentResult): string {
    const lines: string[] = [];
    const columns = Object.keys(rows[0] ?? {});
    if (columns.length > 0) {
        lines.push(formatRow(columns), formatRow(columns.map(() => "---")));
        lines.push(...rows.map(row => formatRow(columns.map(column => formatValue(row[column])))), "");
    }
    if (fits.length > 0) {
        const headers = ["quantity", "unit", "at 0", "slopes", "residual", "share explained", "points"];
        lines.push(formatRow(headers), formatRow(headers.map(() => "---")));
        lines.push(...fits.map(formatFit));
    }
    return lines.join("\n");
}

function formatFit({ quantity, unit, variables, fit }: FittedQuantity): string {
    const slopes = variables.map((variable, position) => `${formatValue(fit.slopes[position])} per ${variable}`);
    return formatRow([
        quantity,
        unit,
        formatValue(fit.intercept),
        slopes.join(", "),
        formatValue(fit.residual),
        fit.determination.toFixed(3),
        String(fit.points),
    ]);
}

function formatRow(cells: readonly string[]): string {
    return `| ${cells.join(" | ")} |`;
}

function formatValue(value: number | string | undefined): string {
    if (typeof value !== "number") {
        return value ?? "";
    }
    return Number.isInteger(value) ? String(value) : String(Number(value.toPrecision(4)));
}

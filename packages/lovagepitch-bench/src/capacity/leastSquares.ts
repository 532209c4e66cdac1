/**
 * Linear least squares over a few variables, with the residual that tells how far the line can be trusted.
 */

/** One measured point. */
export interface Observation {
    /** Value of each variable, in a fixed order. */
    readonly inputs: readonly number[];
    readonly output: number;
}

/** A fitted line. */
export interface LinearFit {
    /** Value where every variable is 0. */
    readonly intercept: number;
    /** One slope for each variable, in the order of the inputs. */
    readonly slopes: readonly number[];
    /** Root of the mean square of the differences between points and line, in the unit of the output. */
    readonly residual: number;
    /** Share of the variance that the line explains, from 0 to 1; 1 when all outputs are equal. */
    readonly determination: number;
    readonly points: number;
}

const smallestPivot = 1e-12;

/**
 * Fits a line by least squares.
 *
 * @param observations - the points; more of them than variables, and the variables independent
 * @returns the line
 * @throws Error when the points do not determine the line; its message names the remedy
 */
export function fitLeastSquares(observations: readonly Observation[]): LinearFit {
    const width = (observations[0]?.inputs.length ?? 0) + 1;
    if (observations.length < width) {
        throw new Error(`${observations.length} points cannot fit ${width} unknowns; measure more sizes`);
    }
    const rows = observations.map(({ inputs }) => [1, ...inputs]);
    const outputs = observations.map(({ output }) => output);
    const [intercept, ...slopes] = solve(createNormalEquations(rows, outputs, width));
    const errors = observations.map(({ inputs, output }) =>
        output - predict({ intercept: intercept ?? 0, slopes }, inputs)
    );
    const mean = outputs.reduce((sum, output) => sum + output, 0) / outputs.length;
    const variance = sumSquares(outputs.map(output => output - mean));
    return {
        intercept: intercept ?? 0,
        slopes,
        residual: Math.sqrt(sumSquares(errors) / observations.length),
        determination: variance === 0 ? 1 : 1 - sumSquares(errors) / variance,
        points: observations.length,
    };
}

/**
 * Reads a line at a point.
 *
 * @param fit - the line
 * @param inputs - value of each variable
 * @returns the value of the line
 */
export function predict(fit: Pick<LinearFit, "intercept" | "slopes">, inputs: readonly number[]): number {
    return fit.slopes.reduce((sum, slope, position) => sum + slope * (inputs[position] ?? 0), fit.intercept);
}

/** Each equation holds its coefficients and, last, its right side. */
function createNormalEquations(
    rows: readonly (readonly number[])[],
    outputs: readonly number[],
    width: number,
): number[][] {
    return Array.from({ length: width }, (_unused, first) => {
        const equation = Array.from(
            { length: width },
            (_other, second) => rows.reduce((sum, row) => sum + row[first]! * row[second]!, 0),
        );
        equation.push(rows.reduce((sum, row, position) => sum + row[first]! * outputs[position]!, 0));
        return equation;
    });
}

/** Gauss-Jordan elimination with partial pivoting. */
function solve(equations: number[][]): readonly number[] {
    const width = equations.length;
    for (let column = 0; column < width; column += 1) {
        movePivot(equations, column);
        const pivot = equations[column]!;
        const scale = pivot[column]!;
        for (const equation of equations) {
            if (equation === pivot) {
                continue;
            }
            const factor = equation[column]! / scale;
            for (let position = column; position <= width; position += 1) {
                equation[position]! -= factor * pivot[position]!;
            }
        }
    }
    return equations.map((equation, position) => equation[width]! / equation[position]!);
}

function movePivot(equations: number[][], column: number): void {
    let best = column;
    for (let row = column + 1; row < equations.length; row += 1) {
        if (Math.abs(equations[row]![column]!) > Math.abs(equations[best]![column]!)) {
            best = row;
        }
    }
    if (Math.abs(equations[best]![column]!) < smallestPivot) {
        throw new Error("The variables are not independent; measure sizes that vary each on its own");
    }
    const chosen = equations[best]!;
    equations[best] = equations[column]!;
    equations[column] = chosen;
}

function sumSquares(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value * value, 0);
}

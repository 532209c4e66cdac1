/**
 * Linear least squares with several variables, and the residual as a measure of the fit's accuracy.
 */

/** One measurement: the values of the variables and the output. */
export interface Observation {
    /** Value of each variable, in a fixed order. */
    readonly inputs: readonly number[];
    readonly output: number;
}

/** A fitted linear function. */
export interface LinearFit {
    /** Value when every variable is 0. */
    readonly intercept: number;
    /** Slope of each variable, in the order of the inputs. */
    readonly slopes: readonly number[];
    /** Root mean square of the differences between measurements and fit, in the unit of the output. */
    readonly residual: number;
    /** Coefficient of determination, from 0 to 1; 1 when all outputs are equal. */
    readonly determination: number;
    readonly points: number;
}

const minimumPivot = 1e-12;

/**
 * Fits a linear function by least squares.
 *
 * @param observations - more measurements than variables; the variables must be linearly independent
 * @returns the fitted function
 * @throws Error when the measurements do not determine the function; the message names the remedy
 */
export function fitLeastSquares(observations: readonly Observation[]): LinearFit {
    const width = (observations[0]?.inputs.length ?? 0) + 1;
    if (observations.length < width) {
        throw new Error(`${observations.length} points cannot fit ${width} unknowns; measure more sizes`);
    }
    const rows = observations.map(({ inputs }) => [1, ...inputs]);
    const outputs = observations.map(({ output }) => output);
    const [intercept, ...slopes] = solveEquations(createNormalEquations(rows, outputs, width));
    const errors = observations.map(({ inputs, output }) =>
        output - evaluateLine({ intercept: intercept ?? 0, slopes }, inputs)
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
 * Evaluates a fitted function.
 *
 * @param fit - intercept and slopes
 * @param inputs - value of each variable, in the order of the slopes
 * @returns the predicted output
 */
export function evaluateLine(fit: Pick<LinearFit, "intercept" | "slopes">, inputs: readonly number[]): number {
    return fit.slopes.reduce((sum, slope, position) => sum + slope * (inputs[position] ?? 0), fit.intercept);
}

/** Creates the normal equations; each row has the coefficients followed by the right-hand side. */
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

/** Solves linear equations by Gauss-Jordan elimination with partial pivoting. */
function solveEquations(equations: number[][]): readonly number[] {
    const width = equations.length;
    for (let column = 0; column < width; column += 1) {
        swapPivotRow(equations, column);
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

function swapPivotRow(equations: number[][], column: number): void {
    let pivotRow = column;
    for (let row = column + 1; row < equations.length; row += 1) {
        if (Math.abs(equations[row]![column]!) > Math.abs(equations[pivotRow]![column]!)) {
            pivotRow = row;
        }
    }
    if (Math.abs(equations[pivotRow]![column]!) < minimumPivot) {
        throw new Error("The variables are not independent; measure sizes that vary independently");
    }
    const chosen = equations[pivotRow]!;
    equations[pivotRow] = equations[column]!;
    equations[column] = chosen;
}

function sumSquares(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value * value, 0);
}

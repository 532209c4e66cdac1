/**
 * Validation of values that arrive from outside the process. What is spent on a wrong value, and what is told about it, does not grow
 * with the number of its faults: the schemas of lists end at their first faulty element.
 */
import * as z from "zod/mini";
import { Err, Ok, type Result } from "./result.js";

/** Longest description of a fault, in characters. */
const maximumDescriptionLength = 300;

/** Fault of a value that the library refuses without naming one. */
const unknownFault: z.core.$ZodIssue = { code: "custom", path: [], message: "Invalid input" };

/**
 * Creates the schema of a list, whose validation ends at the first faulty element. That of the library lists every fault, which takes
 * hundreds of bytes for each and throws an error from some 126,000 on.
 *
 * @param element - schema of the elements
 * @returns the schema; the text that the list comes from bounds its length
 */
export function listOf<Element extends z.core.$ZodType>(
    element: Element,
): z.ZodMiniType<z.output<Element>[], unknown> {
    return z.pipe(
        // eslint-disable-next-line no-restricted-syntax -- elements of any type have no faults
        z.array(z.unknown()),
        z.transform((values, context) => {
            const elements: z.output<Element>[] = [];
            for (const [index, value] of values.entries()) {
                const result = validateValue(element, value);
                if (result.err) {
                    const { message, path } = result.val;
                    context.issues.push({ code: "custom", message, path: [index, ...path], input: value });
                    return z.NEVER;
                }
                elements.push(result.val);
            }
            return elements;
        }),
    );
}

/**
 * Creates the schema of a list whose elements are checked by a function, for lists that are read so often that a schema of their elements
 * would take much of the process's time. The check ends at the first faulty element.
 *
 * @param isElement - tells whether a value is an element
 * @returns the schema; the text that the list comes from bounds its length
 */
export function listWhere<Element>(
    isElement: (value: unknown) => value is Element,
): z.ZodMiniType<readonly Element[], unknown> {
    return z.custom<readonly Element[]>(value => Array.isArray(value) && value.every(isElement));
}

/**
 * Validates a value.
 *
 * @param schema - schema that the value must match; its lists are created by `listOf`
 * @param value - any value
 * @returns the validated value, or its first fault
 */
export function validateValue<Schema extends z.core.$ZodType>(
    schema: Schema,
    value: unknown,
): Result<z.output<Schema>, z.core.$ZodIssue> {
    // eslint-disable-next-line no-restricted-syntax -- the only call of the library for values from outside
    const parsed = z.safeParse(schema, value);
    if (parsed.success) {
        return Ok(parsed.data);
    }
    const [first] = parsed.error.issues;
    return Err(first ?? unknownFault);
}

/**
 * Describes what is wrong with a value, for its sender or the log.
 *
 * @param issue - fault that `validateValue` found
 * @returns kind and location of the fault
 */
export function describeFault({ message, path }: z.core.$ZodIssue): string {
    const location = path.map(String).join(".");
    const description = location === "" ? message : `${message} at ${location}`;
    return description.slice(0, maximumDescriptionLength);
}

/**
 * Converts schema violations into issues with remedies.
 */
import type { z } from "zod";
import type { DocumentPath } from "./documentPath.js";

/** A problem at a path of a document, with its remedy. */
export interface SchemaIssue {
    readonly path: DocumentPath;
    readonly problem: string;
    readonly remedy: string;
}

/**
 * Converts the issues of a zod error into issues with remedies.
 *
 * @param error - error of the schema's validation
 * @param document - the validated document
 * @returns the issues, in the order of the schema
 */
export function describeSchemaIssues(error: z.ZodError, document: unknown): readonly SchemaIssue[] {
    return error.issues.flatMap(issue => describeZodIssue(issue, document));
}

function describeZodIssue(issue: z.core.$ZodIssue, document: unknown): readonly SchemaIssue[] {
    const path = issue.path.map(step => typeof step === "number" ? step : String(step));
    switch (issue.code) {
        case "unrecognized_keys":
            return issue.keys.map(key => ({
                path: [...path, key],
                problem: "unknown key",
                remedy: "remove it or correct its spelling",
            }));
        case "invalid_type":
            return [describeType(issue.expected, path, document)];
        case "invalid_value":
            return [{ path, problem: "not one of the allowed values", remedy: `use ${issue.values.join(" or ")}` }];
        case "too_small":
            return [{
                path,
                problem: "too small",
                remedy: describeBound(issue, issue.minimum, "at least", "more than"),
            }];
        case "too_big":
            return [{
                path,
                problem: "too large",
                remedy: describeBound(issue, issue.maximum, "at most", "less than"),
            }];
        default:
            return [{ path, problem: "invalid value", remedy: issue.message }];
    }
}

function describeType(expected: string, path: DocumentPath, document: unknown): SchemaIssue {
    const article = /^[aeiou]/.test(expected) ? "an" : "a";
    const expectedDescription = expected === "int" ? "a whole number" : `${article} ${expected}`;
    if (getValueAt(document, path) === undefined) {
        return { path, problem: "missing", remedy: `add ${expectedDescription}` };
    }
    return { path, problem: "wrong type", remedy: `use ${expectedDescription}` };
}

function describeBound(
    issue: { readonly origin: string; readonly inclusive?: boolean | undefined },
    bound: number | bigint,
    inclusive: string,
    exclusive: string,
): string {
    const unit = issue.origin === "array" ? " items" : issue.origin === "string" ? " characters" : "";
    return `use ${issue.inclusive === false ? exclusive : inclusive} ${bound}${unit}`;
}

function getValueAt(document: unknown, path: DocumentPath): unknown {
    let value = document;
    for (const step of path) {
        if (typeof value !== "object" || value === null) {
            return undefined;
        }
        value = (value as Readonly<Record<string | number, unknown>>)[step];
    }
    return value;
}

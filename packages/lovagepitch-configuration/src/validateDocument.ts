/**
 * Checks of a document against its schema and its own rules.
 */
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import type { z } from "zod";
import { ConfigurationError, type ConfigurationErrorKind, type TextPosition } from "./configurationError.js";
import { describeSchemaIssues, type SchemaIssue } from "./describeSchemaIssues.js";
import { type DocumentPath, formatDocumentPath } from "./documentPath.js";

/** Issues that one error reports at most, so that a broken document does not flood a terminal. */
const maximumReportedIssues = 50;

/** Where a document came from. */
export interface DocumentOrigin {
    readonly fileName: string;
    /** Finds a path, or the nearest part of the document above it. */
    readonly locate: (path: DocumentPath) => TextPosition | undefined;
}

/**
 * Checks a document.
 *
 * @param value - any JSON value
 * @param schema - the document's shape
 * @param findIssues - finds contradictions in a document of the right shape
 * @param origin - the file that the document came from
 * @returns the document with its defaults, or every issue
 */
export function validateDocument<Document>(
    value: unknown,
    schema: z.ZodType<Document>,
    findIssues: (document: Document) => readonly SchemaIssue[] = () => [],
    origin?: DocumentOrigin,
): Result<Document, ConfigurationError> {
    const parsed = schema.safeParse(value);
    if (!parsed.success) {
        return Err(createError("schema", describeSchemaIssues(parsed.error, value), origin));
    }
    const issues = findIssues(parsed.data);
    if (issues.length > 0) {
        return Err(createError("inconsistent", issues, origin));
    }
    return Ok(parsed.data);
}

function createError(
    kind: ConfigurationErrorKind,
    issues: readonly SchemaIssue[],
    origin: DocumentOrigin | undefined,
): ConfigurationError {
    const reported = issues.slice(0, maximumReportedIssues).map(issue => {
        const position = origin?.locate(issue.path);
        const path = formatDocumentPath(issue.path);
        return { path, problem: issue.problem, remedy: issue.remedy, ...(position === undefined ? {} : { position }) };
    });
    return new ConfigurationError(kind, reported, origin?.fileName);
}

/**
 * Validation of a document against its schema and its consistency rules.
 */
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import type { z } from "zod";
import { ConfigurationError, type ConfigurationErrorKind, type TextPosition } from "./configurationError.js";
import { describeSchemaIssues, type SchemaIssue } from "./describeSchemaIssues.js";
import { type DocumentPath, formatDocumentPath } from "./documentPath.js";

/** Largest number of issues in one error, so that an invalid document does not flood the terminal. */
const maximumReportedIssues = 50;

/** File that contains a document, and the positions in it. */
export interface DocumentOrigin {
    readonly fileName: string;
    /** Returns the position of a path or, when it does not exist, of its nearest existing parent. */
    readonly locate: (path: DocumentPath) => TextPosition | undefined;
}

/**
 * Validates a document.
 *
 * @param value - any JSON value
 * @param schema - schema of the document
 * @param findIssues - finds contradictions in a document that satisfies the schema
 * @param origin - file that contains the document, absent when it was not read from a file
 * @returns the document with its defaults, or an error that lists its issues
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

/**
 * Loading of a document from the text of a file.
 */
import type { Result } from "@lovagepitch/utils/result";
import type { z } from "zod";
import type { ConfigurationError } from "./configurationError.js";
import type { SchemaIssue } from "./describeSchemaIssues.js";
import { type DocumentLimits, parseDocument } from "./parseDocument.js";
import { validateDocument } from "./validateDocument.js";

/** Key with which a document refers editors to its JSON Schema; it is removed before validation. */
export const schemaReferenceKey = "$schema";

/**
 * Parses and validates a document.
 *
 * @param text - JSON with comments
 * @param fileName - name of the file, for error messages
 * @param schema - schema of the document
 * @param findIssues - finds contradictions in a document that satisfies the schema
 * @param limits - limits of the text; by default those of settings and manifests
 * @returns the document with its defaults, or an error that names file, line, column, path and remedy
 */
export function loadDocument<Document>(
    text: string,
    fileName: string,
    schema: z.ZodType<Document>,
    findIssues?: (document: Document) => readonly SchemaIssue[],
    limits?: DocumentLimits,
): Result<Document, ConfigurationError> {
    return parseDocument(text, fileName, limits).andThen(parsed =>
        validateDocument(removeSchemaReference(parsed.value), schema, findIssues, { fileName, locate: parsed.locate })
    );
}

function removeSchemaReference(value: unknown): unknown {
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
        return value;
    }
    return Object.fromEntries(Object.entries(value).filter(([key]) => key !== schemaReferenceKey));
}

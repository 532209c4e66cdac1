/**
 * Loading of a document from the text of a file.
 */
import type { Result } from "@lovagepitch/utils/result";
import type { z } from "zod";
import type { ConfigurationError } from "./configurationError.js";
import type { SchemaIssue } from "./describeSchemaIssues.js";
import { type DocumentLimits, parseDocument } from "./parseDocument.js";
import { validateDocument } from "./validateDocument.js";

/** Key that names a document's JSON Schema to editors; it is not part of the document. */
export const schemaReferenceKey = "$schema";

/**
 * Parses and checks a document.
 *
 * @param text - JSON with comments
 * @param fileName - its file, for error messages
 * @param schema - the document's shape
 * @param findIssues - finds contradictions in a document of the right shape
 * @param limits - limits of the text; those of settings and manifests when absent
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

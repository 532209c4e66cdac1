/**
 * Errors in manifests, settings and job files.
 */

/** Kinds of failure. */
export type ConfigurationErrorKind =
    /** The text is not JSON with comments. */
    | "syntax"
    /** The document violates its schema. */
    | "schema"
    /** The document contradicts itself. */
    | "inconsistent"
    /** The text, its nesting or a job exceeds a limit. */
    | "too-large"
    /** The file could not be read. */
    | "unreadable";

/** Position in a file; lines and columns count from 1. */
export interface TextPosition {
    readonly line: number;
    readonly column: number;
}

/** One problem of a document, with its remedy. */
export interface ConfigurationIssue {
    /** Path within the document, such as `services[0].kinds[1].name`; empty for the document itself. */
    readonly path: string;
    readonly problem: string;
    readonly remedy: string;
    /** Absent when the document did not come from a file. */
    readonly position?: TextPosition;
}

/** Error of an invalid document; its message lists every issue with file, line, column, path and remedy. */
export class ConfigurationError extends Error {
    /**
     * @param kind - kind of failure
     * @param issues - problems of the document, at least one
     * @param fileName - file that contains the document
     */
    public constructor(
        public readonly kind: ConfigurationErrorKind,
        public readonly issues: readonly ConfigurationIssue[],
        public readonly fileName?: string,
    ) {
        super(issues.map(issue => describeIssue(issue, fileName)).join("\n"));
        this.name = "ConfigurationError";
    }
}

function describeIssue(issue: ConfigurationIssue, fileName: string | undefined): string {
    const location = [fileName, issue.position?.line, issue.position?.column].filter(part => part !== undefined).join(
        ":",
    );
    const path = issue.path === "" ? "the document" : issue.path;
    const prefix = location === "" ? "" : `${location}: `;
    return `${prefix}${path}: ${issue.problem}; ${issue.remedy}`;
}

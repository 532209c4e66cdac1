/**
 * Parser for JSON with comments that keeps positions for error messages.
 */
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import {
    createScanner,
    findNodeAtLocation,
    getNodeValue,
    type Node,
    type ParseError,
    parseTree,
    printParseErrorCode,
} from "jsonc-parser";
import { ConfigurationError, type ConfigurationErrorKind, type TextPosition } from "./configurationError.js";
import { type DocumentPath, formatDocumentPath } from "./documentPath.js";

/** Limits of a document's text. */
export interface DocumentLimits {
    /** Largest length of the text, in characters. */
    readonly maximumTextLength: number;
    /** Largest nesting depth of objects and arrays, because the parser recurses once per level. */
    readonly maximumDepth: number;
}

const defaultLimits: DocumentLimits = { maximumTextLength: 1024 * 1024, maximumDepth: 64 };

/** A parsed document and the positions of its parts. */
export interface ParsedDocument {
    readonly value: unknown;
    /** Returns the position of a path or, when it does not exist, of its nearest existing parent. */
    readonly locate: (path: DocumentPath) => TextPosition | undefined;
}

/**
 * Parses JSON with comments and trailing commas. A repeated key is an error, because readers could overlook it.
 *
 * @param text - JSON with comments
 * @param fileName - name of the file, for error messages
 * @param limits - largest length and nesting of the text
 * @returns the document, or an error that names file, line, column and remedy
 */
export function parseDocument(
    text: string,
    fileName: string,
    limits: DocumentLimits = defaultLimits,
): Result<ParsedDocument, ConfigurationError> {
    if (text.length > limits.maximumTextLength) {
        const remedy = `use at most ${limits.maximumTextLength} characters`;
        return fail("too-large", fileName, "", "the file is too large", remedy);
    }
    const excessOffset = findExcessiveNesting(text, limits.maximumDepth);
    if (excessOffset !== undefined) {
        const remedy = `use at most ${limits.maximumDepth} levels`;
        return fail("too-large", fileName, "", "nested too deep", remedy, computePosition(text, excessOffset));
    }
    return parseText(text, fileName);
}

function parseText(text: string, fileName: string): Result<ParsedDocument, ConfigurationError> {
    const errors: ParseError[] = [];
    const root = parseTree(text, errors, { allowTrailingComma: true });
    const error = errors[0];
    if (error !== undefined || root === undefined) {
        const problem = error === undefined ? "the file is empty" : describeSyntax(error);
        const position = computePosition(text, error?.offset ?? 0);
        return fail("syntax", fileName, "", problem, "write JSON; comments and trailing commas are allowed", position);
    }
    const repeated = findRepeatedKey(root, []);
    if (repeated !== undefined) {
        const path = formatDocumentPath(repeated.path);
        return fail(
            "syntax",
            fileName,
            path,
            "repeated key",
            "keep one of them",
            computePosition(text, repeated.offset),
        );
    }
    return Ok({ value: getNodeValue(root) as unknown, locate: path => locate(text, root, path) });
}

function fail(
    kind: ConfigurationErrorKind,
    fileName: string,
    path: string,
    problem: string,
    remedy: string,
    position?: TextPosition,
): Result<never, ConfigurationError> {
    const issue = { path, problem, remedy, ...(position === undefined ? {} : { position }) };
    return Err(new ConfigurationError(kind, [issue], fileName));
}

function describeSyntax(error: ParseError): string {
    const words = printParseErrorCode(error.error).replace(/([a-z])([A-Z])/g, "$1 $2").toLowerCase();
    return `syntax error (${words})`;
}

function findExcessiveNesting(text: string, maximumDepth: number): number | undefined {
    const scanner = createScanner(text, true);
    let depth = 0;
    scanner.scan();
    // The end is recognised by the token's offset, because token lengths may be wrong after an unclosed comment.
    while (scanner.getTokenOffset() < text.length) {
        const firstCharacter = text[scanner.getTokenOffset()];
        if (firstCharacter === "{" || firstCharacter === "[") {
            depth += 1;
        }
        else if (firstCharacter === "}" || firstCharacter === "]") {
            // The parser skips unmatched closing brackets, so the depth never becomes negative.
            depth = Math.max(0, depth - 1);
        }
        if (depth > maximumDepth) {
            return scanner.getTokenOffset();
        }
        scanner.scan();
    }
    return undefined;
}

interface RepeatedKey {
    readonly path: DocumentPath;
    readonly offset: number;
}

function findRepeatedKey(node: Node, path: DocumentPath): RepeatedKey | undefined {
    const names = new Set<string>();
    for (const [index, child] of (node.children ?? []).entries()) {
        const [nameNode, valueNode] = child.type === "property" ? child.children ?? [] : [undefined, child];
        const step = nameNode === undefined ? index : String(nameNode.value);
        if (typeof step === "string" && names.has(step)) {
            return { path: [...path, step], offset: child.offset };
        }
        names.add(String(step));
        const found = valueNode === undefined ? undefined : findRepeatedKey(valueNode, [...path, step]);
        if (found !== undefined) {
            return found;
        }
    }
    return undefined;
}

function locate(text: string, root: Node, path: DocumentPath): TextPosition {
    for (let length = path.length; length > 0; length -= 1) {
        const node = findNodeAtLocation(root, path.slice(0, length));
        if (node !== undefined) {
            // The position of a property is that of its name, as in editors.
            const start = node.parent?.type === "property" ? node.parent : node;
            return computePosition(text, start.offset);
        }
    }
    return computePosition(text, root.offset);
}

function computePosition(text: string, offset: number): TextPosition {
    const before = text.slice(0, offset);
    const lines = before.split(/\r\n|\r|\n/);
    return { line: lines.length, column: (lines.at(-1) ?? "").length + 1 };
}

/**
 * Paths within a document.
 */

/** Property names and array indexes from the root of a document. */
export type DocumentPath = readonly (string | number)[];

const identifierPattern = /^[A-Za-z_$][\w$]*$/;

/**
 * Formats a path as text.
 *
 * @param path - property names and array indexes from the root
 * @returns text such as `services[0].name`; empty for the root
 */
export function formatDocumentPath(path: DocumentPath): string {
    let text = "";
    for (const step of path) {
        if (typeof step === "number") {
            text += `[${step}]`;
        }
        else if (identifierPattern.test(step)) {
            text += text === "" ? step : `.${step}`;
        }
        else {
            text += `[${JSON.stringify(step)}]`;
        }
    }
    return text;
}

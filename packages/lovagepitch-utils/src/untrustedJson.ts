/**
 * Parsing of JSON that arrives from outside the process. The memory that the value takes is bounded before it is parsed: an empty
 * object takes fifty times the memory of its text.
 */

/** Largest number of values in a text that is parsed; validation may take further memory for each. */
const maximumValues = 400_000;

/** Largest number of arrays, objects and fields in a text that is parsed. */
const maximumElements = 100_000;

const quotationMark = 0x22;
const comma = 0x2c;
const colon = 0x3a;
const openingBracket = 0x5b;
const backslash = 0x5c;
const openingBrace = 0x7b;

/**
 * Parses JSON from an untrusted source.
 *
 * @param bytes - JSON text in UTF-8; invalid bytes are replaced
 * @returns the value, or undefined, which every schema rejects, when the text is not JSON or has too many elements
 */
export function parseUntrustedJson(bytes: Buffer): unknown {
    if (hasTooManyElements(bytes)) {
        return undefined;
    }
    try {
        // eslint-disable-next-line no-restricted-syntax -- the only call for text from outside
        return JSON.parse(bytes.toString("utf8")) as unknown;
    }
    catch {
        return undefined;
    }
}

/**
 * Tells whether a JSON text has too many elements to be parsed. What is within texts does not count.
 *
 * @param bytes - JSON text in UTF-8
 * @returns true when parsing it could take many times the memory of the text
 */
export function hasTooManyElements(bytes: Uint8Array): boolean {
    // Each element takes a byte at least.
    if (bytes.length <= maximumElements) {
        return false;
    }
    let values = 1;
    let elements = 0;
    for (let position = 0; position < bytes.length; position += 1) {
        switch (bytes[position]) {
            case quotationMark:
                position = findClosingMark(bytes, position + 1);
                break;
            case comma:
                values += 1;
                break;
            case openingBracket:
            case openingBrace:
                values += 1;
                elements += 1;
                break;
            case colon:
                elements += 1;
        }
        if (values > maximumValues || elements > maximumElements) {
            return true;
        }
    }
    return false;
}

/** Finds the quotation mark that ends a text; the end of the bytes when there is none. */
function findClosingMark(bytes: Uint8Array, start: number): number {
    let position = start;
    while (position < bytes.length && bytes[position] !== quotationMark) {
        position += bytes[position] === backslash ? 2 : 1;
    }
    return position;
}

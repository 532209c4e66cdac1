/**
 * Bound on the memory that parsed JSON takes: an empty object takes fifty times the memory of its text.
 */

/** Largest number of arrays, objects and fields in a text that is parsed. */
const maximumElements = 100_000;

/** Bytes that begin an array, an object or the value of a field. */
const openingBracket = 0x5b;
const openingBrace = 0x7b;
const colon = 0x3a;

/**
 * Tells whether a JSON text has too many elements to be parsed. Brackets, braces and colons within texts are counted, too.
 *
 * @param bytes - JSON text in UTF-8
 * @returns true when parsing it could take many times the memory of the text
 */
export function hasTooManyElements(bytes: Uint8Array): boolean {
    if (bytes.length <= maximumElements) {
        return false;
    }
    let elements = 0;
    for (const byte of bytes) {
        if (byte === openingBracket || byte === openingBrace || byte === colon) {
            elements += 1;
        }
    }
    return elements > maximumElements;
}

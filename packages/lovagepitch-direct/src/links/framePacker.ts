/**
 * Packing of the values that frame formats produce, so that every text arrives unchanged.
 *
 * Decoders of UTF-8 drop a leading byte order mark, encoders replace lone surrogates, and decoders of MessagePack rename
 * some fields. A text that UTF-8 can represent therefore follows a character of its own; any other is written as JSON, which
 * escapes lone surrogates. This holds for the names of fields too.
 */
import { parseUntrustedJson } from "@lovagepitch/utils/untrustedJson";
// The part without the native addon, whose decoder treats some texts differently: one decoder wherever the code runs.
import { Packr } from "msgpackr/pack";

/** First character of a packed text that is otherwise as it was; JSON texts begin with a quotation mark. */
const unescapedPrefix = ".";

/** Without records, so that packed values do not depend on each other. */
const packr = new Packr({ useRecords: false, int64AsType: "number", mapsAsObjects: true });

/**
 * Packs a value.
 *
 * @param value - numbers, booleans, texts, and arrays and plain objects of these
 * @returns the packed bytes
 */
export function packFrame(value: unknown): Uint8Array {
    return packr.pack(encodeValue(value));
}

/**
 * Unpacks a value.
 *
 * @param bytes - packed value
 * @returns a value equal to the packed one; as in JSON, negative zero becomes zero
 * @throws an error of any kind when the bytes are not a packed value
 */
export function unpackFrame(bytes: Uint8Array): unknown {
    return decodeValue(packr.unpack(bytes));
}

function encodeValue(value: unknown): unknown {
    if (typeof value === "string") {
        return encodeText(value);
    }
    return mapContents(value, encodeText, encodeValue);
}

function decodeValue(value: unknown): unknown {
    if (typeof value === "string") {
        return decodeText(value);
    }
    return mapContents(value, decodeText, decodeValue);
}

/** Converts the items of an array, or the names and fields of an object. */
function mapContents(
    value: unknown,
    convertName: (name: string) => string,
    convertField: (field: unknown) => unknown,
): unknown {
    if (typeof value !== "object" || value === null) {
        return value;
    }
    if (Array.isArray(value)) {
        return value.map(convertField);
    }
    if (Object.getPrototypeOf(value) !== Object.prototype) {
        throw new TypeError("a frame contains a value of an unknown type; run the same version at both ends");
    }
    return Object.fromEntries(
        Object.entries(value).map(([name, field]) => [convertName(name), convertField(field)]),
    );
}

function encodeText(text: string): string {
    return text.isWellFormed() ? unescapedPrefix + text : JSON.stringify(text);
}

function decodeText(packed: string): string {
    if (packed.startsWith(unescapedPrefix)) {
        return packed.slice(unescapedPrefix.length);
    }
    // The bound on the values of a frame counts this text as one value.
    const text = parseUntrustedJson(Buffer.from(packed));
    if (typeof text !== "string") {
        throw new TypeError("a frame contains a text in an unknown form; run the same version at both ends");
    }
    return text;
}

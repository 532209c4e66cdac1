/**
 * Bound on the memory that an unpacked frame takes: in MessagePack, an empty map of one byte becomes an object.
 */

/** Largest number of values in a frame; a configuration with several thousand routes has fewer. */
const maximumValues = 400_000;

/** Largest number of arrays, maps and fields of maps in a frame. */
const maximumElements = 100_000;

/** Bytes beside the first one of values whose first byte is from 0xc0 on, without the contents that a length gives. */
const fixedBytes: readonly number[] = [
    ...[0, 0, 0, 0], // nil, unused, false, true
    ...[1, 2, 4], // binary data, whose length follows
    ...[2, 3, 5], // extensions, whose length and type follow
    ...[4, 8], // numbers with a fraction
    ...[1, 2, 4, 8, 1, 2, 4, 8], // whole numbers
    ...[2, 3, 5, 9, 17], // extensions of a fixed length
    ...[1, 2, 4], // texts, whose length follows
    ...[2, 4], // arrays, whose length follows
    ...[2, 4], // maps, whose length follows
];

/** Sizes of the length of texts, binary data and extensions by their first byte. */
const lengthBytes: ReadonlyMap<number, number> = new Map([
    ...[[0xc4, 1], [0xc5, 2], [0xc6, 4], [0xc7, 1], [0xc8, 2], [0xc9, 4]] as const,
    ...[[0xd9, 1], [0xda, 2], [0xdb, 4]] as const,
]);

/** What one value consists of. */
interface ValueShape {
    /** Bytes of the value without the values that it contains. */
    readonly bytes: number;
    /** Values that it contains; undefined when it is neither an array nor a map. */
    readonly contained: number | undefined;
    readonly isMap: boolean;
}

/**
 * Tells whether a packed value has too many elements to be unpacked.
 *
 * @param bytes - packed value
 * @returns true when unpacking it could take many times the memory of the bytes
 */
export function hasTooManyPackedElements(bytes: Buffer): boolean {
    if (bytes.length <= maximumElements) {
        return false;
    }
    let values = 0;
    let elements = 0;
    for (let position = 0; position < bytes.length; values += 1) {
        const { bytes: length, contained, isMap } = readShape(bytes, position);
        position += length;
        elements += contained === undefined ? 0 : 1 + (isMap ? contained / 2 : 0);
        if (elements > maximumElements || values > maximumValues) {
            return true;
        }
    }
    return false;
}

function readShape(bytes: Buffer, position: number): ValueShape {
    const first = bytes[position] ?? 0;
    if (first < 0x80 || first >= 0xe0) {
        return { bytes: 1, contained: undefined, isMap: false };
    }
    if (first < 0x90) {
        return { bytes: 1, contained: 2 * (first & 0x0f), isMap: true };
    }
    if (first < 0xa0) {
        return { bytes: 1, contained: first & 0x0f, isMap: false };
    }
    if (first < 0xc0) {
        return { bytes: 1 + (first & 0x1f), contained: undefined, isMap: false };
    }
    const fixed = fixedBytes[first - 0xc0] ?? 0;
    if (first >= 0xdc) {
        const isMap = first >= 0xde;
        return { bytes: 1 + fixed, contained: readLength(bytes, position + 1, fixed) * (isMap ? 2 : 1), isMap };
    }
    const contents = readLength(bytes, position + 1, lengthBytes.get(first) ?? 0);
    return { bytes: 1 + fixed + contents, contained: undefined, isMap: false };
}

/** A length that is cut off ends the search: the bytes are no packed value. */
function readLength(bytes: Buffer, start: number, size: number): number {
    return size === 0 || start + size > bytes.length ? 0 : bytes.readUIntBE(start, size);
}

/**
 * Binary format of frames: known fields by position, fields that hold their default left out, other fields by name.
 */

/**
 * Version of the format, which is also the first byte of each frame; it differs from the brace with which JSON begins.
 * Version 1 changed some texts and is no longer read: peers that offer only that one exchange JSON.
 */
export const frameFormatVersion = 2;

/** Fields of a frame that the format does not know, which it transfers by name. */
export type OtherFields = Readonly<Record<string, unknown>>;

/**
 * Format of the frames of one direction of one connection. It may rely on earlier frames of the connection, so every
 * frame passes through it once and in order.
 */
export abstract class FrameFormat<Outgoing> {
    /**
     * Converts a frame that is to be sent.
     *
     * @param frame - frame to send
     * @returns the value to be packed
     */
    public abstract toWire(frame: Outgoing): unknown;

    /**
     * Converts a received value.
     *
     * @param value - unpacked value, which need not be of this format
     * @returns a value with the fields of a frame, whose types have not been checked
     * @throws an error of any kind when the value is not of this format
     */
    public abstract fromWire(value: unknown): unknown;
}

/** Names of fields without a position. */
const noFields: ReadonlySet<string> = new Set();

/**
 * Collects the fields that a format does not transfer by position.
 *
 * @param value - object whose fields are selected
 * @param positioned - names of the fields with a position
 * @param omittedWhenEmpty - names of the fields whose default at the receiver is false or an empty array
 * @returns the other defined fields that do not hold their default, or 0 when there is none
 */
export function collectOthers(
    value: object,
    positioned: ReadonlySet<string>,
    omittedWhenEmpty: ReadonlySet<string> = noFields,
): OtherFields | 0 {
    let others: [string, unknown][] | undefined;
    for (const name in value) {
        if (positioned.has(name)) {
            continue;
        }
        const field = (value as OtherFields)[name];
        const isEmpty = field === false || (Array.isArray(field) && field.length === 0);
        if (field !== undefined && !(isEmpty && omittedWhenEmpty.has(name))) {
            others ??= [];
            others.push([name, field]);
        }
    }
    return others === undefined ? 0 : Object.fromEntries(others);
}

/**
 * Tells whether two values without functions have the same fields.
 *
 * @param left - first value
 * @param right - second value
 * @returns true when they are equal
 */
export function isEqual(left: unknown, right: unknown): boolean {
    if (left === right) {
        return true;
    }
    if (typeof left !== "object" || typeof right !== "object" || left === null || right === null) {
        return false;
    }
    const names = Object.keys(left);
    return Array.isArray(left) === Array.isArray(right) && names.length === Object.keys(right).length
        && names.every(name => isEqual((left as OtherFields)[name], (right as OtherFields)[name]));
}

/**
 * Asserts that a received value is an array.
 *
 * @param value - received value
 * @returns the array
 * @throws TypeError when it is anything else
 */
export function expectArray(value: unknown): readonly unknown[] {
    if (!Array.isArray(value)) {
        throw new TypeError("a frame does not have the format of its version; run the same version at both ends");
    }
    return value;
}

/**
 * Adds the fields that a format has transferred by name.
 *
 * @param fields - fields by position, and the defaults of other fields
 * @param others - received value; anything but an object for no fields
 * @returns all fields
 */
export function addOthers(fields: OtherFields, others: unknown): OtherFields {
    return typeof others === "object" && others !== null ? { ...fields, ...others } : fields;
}

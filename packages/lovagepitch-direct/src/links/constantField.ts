/**
 * Field of a frame that rarely changes: it is sent once on a connection and again when it has changed.
 */
import { isEqual } from "./frameFormat.js";

/** Value on the wire that stands for that of the previous frame; no constant field has this value itself. */
const unchanged = 0;

/** State of one such field of one direction of one connection. */
export class ConstantField {
    private sent: unknown;
    private received: unknown;

    /**
     * Converts the value of a frame that is to be sent.
     *
     * @param value - a string, array or object
     * @returns the value to be packed
     */
    public toWire(value: unknown): unknown {
        if (this.sent !== undefined && isEqual(this.sent, value)) {
            return unchanged;
        }
        this.sent = value;
        return value;
    }

    /**
     * Converts a received value.
     *
     * @param value - unpacked value
     * @returns the value of the field
     */
    public fromWire(value: unknown): unknown {
        if (value !== unchanged) {
            this.received = value;
        }
        return this.received;
    }
}

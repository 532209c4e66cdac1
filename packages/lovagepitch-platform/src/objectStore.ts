/**
 * The platform's object store.
 */
import type { Result } from "@lovagepitch/utils/result";
import type { PlatformError } from "./platformError.js";

/** Whole objects by name. */
export abstract class ObjectStore {
    /**
     * Writes an object, replacing what was there.
     *
     * @param name - the object's name
     * @param body - its content
     * @returns nothing, or why it is not known to be written
     */
    public abstract put(name: string, body: Uint8Array): Promise<Result<void, PlatformError>>;

    /**
     * Reads an object.
     *
     * @param name - the object's name
     * @returns its content, undefined when there is none, or why it could not be read
     */
    public abstract get(name: string): Promise<Result<Uint8Array | undefined, PlatformError>>;
}

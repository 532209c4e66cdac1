/**
 * Interface of the platform's object store.
 */
import type { Result } from "@lovagepitch/utils/result";
import type { PlatformError } from "./platformError.js";

/** Reads and writes whole objects by name. */
export abstract class ObjectStore {
    /**
     * Writes an object and replaces any earlier content.
     *
     * @param name - the object's name
     * @param body - its content
     * @returns nothing, or the error when the object is not known to be written
     */
    public abstract put(name: string, body: Uint8Array): Promise<Result<void, PlatformError>>;

    /**
     * Reads an object.
     *
     * @param name - the object's name
     * @returns its content, undefined when there is no such object, or the error when it could not be read
     */
    public abstract get(name: string): Promise<Result<Uint8Array | undefined, PlatformError>>;
}

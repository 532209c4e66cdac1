/**
 * Size of this process's heap after a collection.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

let collect: (() => void) | undefined;

/**
 * Collects garbage and reads what is left.
 *
 * @returns bytes in use, buffers included
 */
export function readHeapBytes(): number {
    if (collect === undefined) {
        setFlagsFromString("--expose-gc");
        collect = runInNewContext("gc") as () => void;
    }
    collect();
    collect();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
}

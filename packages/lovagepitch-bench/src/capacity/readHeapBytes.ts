/**
 * Reads the heap size of this process after a garbage collection.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

let collectGarbage: (() => void) | undefined;

/**
 * Runs the garbage collector and reads the remaining heap size.
 *
 * @returns bytes in use, including external buffers
 */
export function readHeapBytes(): number {
    if (collectGarbage === undefined) {
        setFlagsFromString("--expose-gc");
        collectGarbage = runInNewContext("gc") as () => void;
    }
    collectGarbage();
    collectGarbage();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
}

/**
 * Loads the modules that its arguments name, collects garbage and waits, so that its memory can be read.
 */
import { readHeapBytes } from "./heapSize.js";

const keepAliveMilliseconds = 60_000;

for (const specifier of process.argv.slice(2)) {
    await import(specifier);
}
console.log(JSON.stringify({ loadedHeapBytes: readHeapBytes() }));
setTimeout(() => undefined, keepAliveMilliseconds);

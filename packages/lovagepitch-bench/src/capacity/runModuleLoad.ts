/**
 * Imports the modules named by the arguments, runs the garbage collector and waits, so that the memory can be measured.
 */
import { readHeapBytes } from "./readHeapBytes.js";

const keepAliveMilliseconds = 60_000;

for (const specifier of process.argv.slice(2)) {
    await import(specifier);
}
console.log(JSON.stringify({ loadedHeapBytes: readHeapBytes() }));
setTimeout(() => undefined, keepAliveMilliseconds);

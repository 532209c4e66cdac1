/**
 * V8 settings that keep the heap small, because agents run with little memory and a low load.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/**
 * Delay of the garbage collection after the start, in milliseconds. It gives the agent time to register and to receive
 * the first messages of its entries.
 */
const trimDelayMilliseconds = 5_000;

/** V8 flags that reduce memory usage at the cost of throughput. */
const v8Flags = ["--semi-space-growth-factor=1", "--optimize-for-size"] as const;

/** Limits the growth of the heap. Must be called before the modules of the agent are loaded. */
export function limitHeapGrowth(): void {
    for (const flag of v8Flags) {
        setFlagsFromString(flag);
    }
}

/** Schedules a garbage collection after the start, because an idle process does not trigger one itself. */
export function scheduleHeapTrim(): void {
    const timer = setTimeout(() => {
        setFlagsFromString("--expose-gc");
        const collectGarbage = runInNewContext("gc") as () => void;
        setFlagsFromString("--no-expose-gc");
        collectGarbage();
    }, trimDelayMilliseconds);
    timer.unref();
}

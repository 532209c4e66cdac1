/**
 * Keeps the agent's heap small: an agent has little memory and little to do.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Time for the agent to register and to hear from its entries, in milliseconds. */
const trimDelayMilliseconds = 5_000;

/** Settings of the engine that trade throughput for memory. */
const v8Flags = ["--semi-space-growth-factor=1", "--optimize-for-size"] as const;

/** Limits the growth of the heap; to be called before the program is loaded. */
export function limitHeapGrowth(): void {
    for (const flag of v8Flags) {
        setFlagsFromString(flag);
    }
}

/** Collects garbage once the agent has started, because an idle process would not do it by itself. */
export function scheduleHeapTrim(): void {
    const timer = setTimeout(() => {
        setFlagsFromString("--expose-gc");
        const collectGarbage = runInNewContext("gc") as () => void;
        setFlagsFromString("--no-expose-gc");
        collectGarbage();
    }, trimDelayMilliseconds);
    timer.unref();
}

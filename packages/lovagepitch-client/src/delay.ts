/**
 * Delays between attempts.
 */
import { setTimeout as waitForTimer } from "node:timers/promises";

/** Waits between attempts; tests replace it by one that advances a manual clock. */
export abstract class Delay {
    /**
     * Waits for a time.
     *
     * @param milliseconds - duration of the wait
     * @returns a promise that resolves after the duration
     */
    public abstract wait(milliseconds: number): Promise<void>;
}

/** Waits with Node.js timers. */
export class TimerDelay extends Delay {
    /** {@inheritDoc Delay.wait} */
    public override async wait(milliseconds: number): Promise<void> {
        await waitForTimer(milliseconds);
    }
}

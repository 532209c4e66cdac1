/**
 * Delays of the platform's clients, for backoff and rate limits.
 */
import { setTimeout as waitForTimer } from "node:timers/promises";

/** Waits for a duration; tests inject a delay that they control. */
export abstract class Delay {
    /**
     * Waits for a duration.
     *
     * @param milliseconds - duration of the wait
     * @returns a promise that resolves when the time has passed
     */
    public abstract wait(milliseconds: number): Promise<void>;
}

/** Waits with the timers of Node.js. */
export class SystemDelay extends Delay {
    /** {@inheritDoc Delay.wait} */
    public override async wait(milliseconds: number): Promise<void> {
        await waitForTimer(milliseconds);
    }
}

/**
 * Waiting between resubmissions.
 */
import { setTimeout as waitForTimer } from "node:timers/promises";

/** Lets time pass; tests pass in one that moves their clock. */
export abstract class Delay {
    /**
     * Waits.
     *
     * @param milliseconds - how long
     * @returns a promise that resolves when the time has passed
     */
    public abstract wait(milliseconds: number): Promise<void>;
}

/** Waits by the machine's timers. */
export class TimerDelay extends Delay {
    /** {@inheritDoc Delay.wait} */
    public override async wait(milliseconds: number): Promise<void> {
        await waitForTimer(milliseconds);
    }
}

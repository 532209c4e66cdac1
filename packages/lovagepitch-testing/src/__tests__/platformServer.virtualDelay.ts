import { Delay } from "@lovagepitch/platform/delay";

interface Wait {
    readonly endsAtMilliseconds: number;
    readonly resolve: () => void;
}

/** Virtual time that advances only when all promises have settled: waits take no real time and end in a fixed order. */
export class VirtualDelay extends Delay {
    private nowMilliseconds = 0;
    private waits: readonly Wait[] = [];
    private isScheduled = false;

    /** {@inheritDoc Delay.wait} */
    public override async wait(milliseconds: number): Promise<void> {
        return new Promise(resolve => {
            this.waits = [...this.waits, { endsAtMilliseconds: this.nowMilliseconds + milliseconds, resolve }];
            this.scheduleNextWait();
        });
    }

    private scheduleNextWait(): void {
        if (this.isScheduled) {
            return;
        }
        this.isScheduled = true;
        // Immediates run after all pending promise callbacks.
        setImmediate(() => {
            this.isScheduled = false;
            this.resolveNextWait();
        });
    }

    private resolveNextWait(): void {
        const next = this.waits.reduce<Wait | undefined>(
            (earliest, wait) =>
                earliest === undefined || wait.endsAtMilliseconds < earliest.endsAtMilliseconds ? wait : earliest,
            undefined,
        );
        if (next === undefined) {
            return;
        }
        this.nowMilliseconds = next.endsAtMilliseconds;
        this.waits = this.waits.filter(wait => wait !== next);
        next.resolve();
        this.scheduleNextWait();
    }
}

import { Delay } from "@lovagepitch/platform/delay";

interface Wait {
    readonly endsAt: number;
    readonly resolve: () => void;
}

/** Time that passes only when nothing else can happen, so that waits cost nothing and their order is fixed. */
export class VirtualDelay extends Delay {
    private now = 0;
    private waits: readonly Wait[] = [];
    private pumping = false;

    /** {@inheritDoc Delay.wait} */
    public override async wait(milliseconds: number): Promise<void> {
        return new Promise(resolve => {
            this.waits = [...this.waits, { endsAt: this.now + milliseconds, resolve }];
            this.schedule();
        });
    }

    private schedule(): void {
        if (this.pumping) {
            return;
        }
        this.pumping = true;
        // Immediates run after every promise that can settle has settled.
        setImmediate(() => {
            this.pumping = false;
            this.passNext();
        });
    }

    private passNext(): void {
        const next = this.waits.reduce<Wait | undefined>(
            (earliest, wait) => earliest === undefined || wait.endsAt < earliest.endsAt ? wait : earliest,
            undefined,
        );
        if (next === undefined) {
            return;
        }
        this.now = next.endsAt;
        this.waits = this.waits.filter(wait => wait !== next);
        next.resolve();
        this.schedule();
    }
}

/**
 * The one loop of a process: it ticks a core when an input arrives or a time it asked for has come.
 */
import type { Clock } from "./clock.js";
import type { Core } from "./core.js";

/** Longest time that Node.js lets a timer wait. */
const maximumTimerMilliseconds = 0x7fff_ffff;

/** Runs a core's ticks. */
export class TickLoop<Input, Output> {
    private immediate: NodeJS.Immediate | undefined;
    private timer: NodeJS.Timeout | undefined;
    private isStopped = false;

    /**
     * @param core - the core to run
     * @param clock - the clock that the core reads
     * @param perform - carries out the outputs of one tick
     * @param observeTick - learns how long each tick took, in milliseconds
     */
    public constructor(
        private readonly core: Core<Input, Output>,
        private readonly clock: Clock,
        private readonly perform: (outputs: readonly Output[]) => void,
        private readonly observeTick: (durationMilliseconds: number) => void = () => undefined,
    ) {}

    /**
     * Hands an input to the core; all inputs of one turn of the event loop share a tick.
     *
     * @param input - the input
     */
    public accept(input: Input): void {
        this.core.accept(input);
        this.schedule();
    }

    /** Asks for a tick without an input. */
    public schedule(): void {
        if (this.isStopped || this.immediate !== undefined) {
            return;
        }
        this.immediate = setImmediate(() => {
            this.immediate = undefined;
            this.run();
        });
    }

    /** Stops the loop; later inputs are ignored. */
    public stop(): void {
        this.isStopped = true;
        clearImmediate(this.immediate);
        clearTimeout(this.timer);
    }

    private run(): void {
        const startedAt = performance.now();
        const outputs = this.core.tick();
        this.observeTick(performance.now() - startedAt);
        this.perform(outputs);
        this.scheduleTimer();
    }

    private scheduleTimer(): void {
        clearTimeout(this.timer);
        const wakeAt = this.core.nextWakeAtMilliseconds();
        if (wakeAt === undefined || this.isStopped) {
            return;
        }
        const delay = Math.min(maximumTimerMilliseconds, Math.max(0, wakeAt - this.clock.nowMilliseconds()));
        this.timer = setTimeout(() => this.schedule(), Math.ceil(delay));
    }
}

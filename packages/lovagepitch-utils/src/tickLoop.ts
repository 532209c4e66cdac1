/**
 * Main loop of a process: it runs a tick of the core when an input arrives or a requested time is reached.
 */
import type { Clock } from "./clock.js";
import type { Core } from "./core.js";

/** Longest delay of a Node.js timer. */
const maximumTimerMilliseconds = 0x7fff_ffff;

/** Schedules and runs the ticks of a core. */
export class TickLoop<Input, Output> {
    private immediate: NodeJS.Immediate | undefined;
    private timer: NodeJS.Timeout | undefined;
    /** Instant at which the timer fires. */
    private timerAt = 0;
    /** Instant at which the next tick without an input is due; never before the timer fires. */
    private wakeAt = 0;
    private largestDelay = 0;
    private tickCount = 0;
    private isStopped = false;

    /**
     * @param core - the core to run
     * @param clock - the clock that the core uses
     * @param performOutputs - performs the outputs of one tick
     * @param observeTick - called with the duration of each tick, in milliseconds
     */
    public constructor(
        private readonly core: Core<Input, Output>,
        private readonly clock: Clock,
        private readonly performOutputs: (outputs: readonly Output[]) => void,
        private readonly observeTick: (durationMilliseconds: number) => void = () => undefined,
    ) {}

    /** Number of ticks since the start. */
    public get ticks(): number {
        return this.tickCount;
    }

    /**
     * Passes an input to the core; all inputs of one turn of the event loop are processed in one tick. One that is not urgent does
     * not cause a tick.
     *
     * @param input - input for the next tick
     */
    public accept(input: Input): void {
        this.core.accept(input);
        if (this.core.isUrgent(input)) {
            this.schedule();
        }
    }

    /** Schedules a tick without an input. */
    public schedule(): void {
        if (this.isStopped || this.immediate !== undefined) {
            return;
        }
        this.immediate = setImmediate(() => {
            this.immediate = undefined;
            this.run();
        });
    }

    /**
     * Returns the largest delay of a timer since the previous call. It shows whether the process gets enough processor time.
     *
     * @returns milliseconds between the instant at which a timer was due and its execution; 0 when none was late
     */
    public takeLargestDelayMilliseconds(): number {
        const delay = this.largestDelay;
        this.largestDelay = 0;
        return delay;
    }

    /** Stops the loop; later inputs are ignored. */
    public stop(): void {
        this.isStopped = true;
        clearImmediate(this.immediate);
        clearTimeout(this.timer);
    }

    private run(): void {
        this.tickCount += 1;
        const startedAt = performance.now();
        const outputs = this.core.tick();
        this.observeTick(performance.now() - startedAt);
        this.performOutputs(outputs);
        this.scheduleTimer();
    }

    private scheduleTimer(): void {
        const wakeAt = this.core.nextWakeAtMilliseconds();
        if (wakeAt === undefined || this.isStopped) {
            clearTimeout(this.timer);
            this.timer = undefined;
            return;
        }
        this.wakeAt = wakeAt;
        // Most ticks only move the next one further off; the timer is then set again when it fires.
        if (this.timer === undefined || wakeAt < this.timerAt) {
            this.setTimer();
        }
    }

    private setTimer(): void {
        clearTimeout(this.timer);
        this.timerAt = this.wakeAt;
        const delay = Math.min(maximumTimerMilliseconds, Math.max(0, this.wakeAt - this.clock.nowMilliseconds()));
        this.timer = setTimeout(() => {
            const now = this.clock.nowMilliseconds();
            this.timer = undefined;
            this.largestDelay = Math.max(this.largestDelay, now - this.timerAt);
            if (now >= this.wakeAt) {
                this.schedule();
            }
            else {
                this.setTimer();
            }
        }, Math.ceil(delay));
    }
}

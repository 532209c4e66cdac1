/**
 * Processor of a simulated entry: each tick takes the time of what it has received and sent, and outputs leave when it ends.
 */
import type { EntryInput, EntryOutput } from "@lovagepitch/direct/entry/entryPorts";
import { ProcessorTime } from "@lovagepitch/direct/model/processorTime";
import type { ManualClock } from "@lovagepitch/utils/clock";

/** Processor time of a tick without input and output, in milliseconds of a whole core. */
const tickMilliseconds = 0.1;

/** Processor time of inputs, in milliseconds of a whole core; other inputs take none beyond that of their tick. */
const inputMilliseconds: Readonly<Partial<Record<EntryInput["kind"], number>>> = {
    "submitted": 0.5,
    "frame": 0.2,
    "forwarding-frame": 0.2,
    "forwarding-reply": 0.2,
};

/** Processor time of each submission in a frame between entries, at each end, in milliseconds of a whole core. */
const forwardedMilliseconds = 0.2;

/** Processor time of outputs, in milliseconds of a whole core. */
const outputMilliseconds: Readonly<Partial<Record<EntryOutput["kind"], number>>> = {
    "answer": 0.2,
    "frame": 0.2,
    "forwarding-frame": 0.2,
    "forwarding-reply": 0.2,
};

/** Processor time of each start order in a frame, in milliseconds of a whole core. */
const startMilliseconds = 0.4;

const milliCoresPerCore = 1000;

/** A part of a core, or several of them, that one process uses. */
export class BoundedProcessor extends ProcessorTime {
    private freeAtMilliseconds = Number.NEGATIVE_INFINITY;
    private busy = 0;
    private pendingInputMilliseconds = 0;

    /**
     * @param clock - clock of the deployment
     * @param milliCores - speed, in thousandths of a core
     */
    public constructor(private readonly clock: ManualClock, private milliCores: number) {
        super();
    }

    /** Instant from which the process can run, in milliseconds. */
    public get freeAt(): number {
        return this.freeAtMilliseconds;
    }

    /** {@inheritDoc ProcessorTime.readBusyMilliseconds} */
    public override readBusyMilliseconds(): number {
        return this.busy - Math.max(0, this.freeAtMilliseconds - this.clock.nowMilliseconds());
    }

    /**
     * Changes the speed from the next tick on.
     *
     * @param milliCores - speed, in thousandths of a core
     */
    public setSpeed(milliCores: number): void {
        this.milliCores = milliCores;
    }

    /**
     * Counts an input, whose time is taken with the next tick.
     *
     * @param input - the input
     */
    public addInput(input: EntryInput): void {
        this.pendingInputMilliseconds += inputMilliseconds[input.kind] ?? 0;
        if (input.kind === "forwarding-frame") {
            this.pendingInputMilliseconds += input.frame.submissions.length * forwardedMilliseconds;
        }
    }

    /**
     * Takes the time of a tick.
     *
     * @param outputs - outputs of the tick
     */
    public runTick(outputs: readonly EntryOutput[]): void {
        let milliseconds = tickMilliseconds + this.pendingInputMilliseconds;
        this.pendingInputMilliseconds = 0;
        for (const output of outputs) {
            milliseconds += outputMilliseconds[output.kind] ?? 0;
            milliseconds += output.kind === "forwarding-frame"
                ? output.frame.submissions.length * forwardedMilliseconds
                : 0;
            milliseconds += output.kind === "frame" ? output.frame.starts.length * startMilliseconds : 0;
        }
        const duration = milliseconds * milliCoresPerCore / this.milliCores;
        this.busy += duration;
        this.freeAtMilliseconds = this.clock.nowMilliseconds() + duration;
    }
}

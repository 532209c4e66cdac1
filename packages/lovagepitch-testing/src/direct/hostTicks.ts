/**
 * Ticks of the simulated processes, which an input or the clock brings about.
 */
import type { EntryInput, EntryOutput } from "@lovagepitch/direct/entry/entryPorts";
import type { ManualClock } from "@lovagepitch/utils/clock";
import type { EventQueue } from "../harness/eventQueue.js";
import type { CoreHost } from "./coreHost.js";

/** Performs the outputs of a tick. */
type PerformOutputs = <Input, Output>(host: CoreHost<Input, Output>, outputs: readonly Output[]) => void;

/** Runs the ticks of processes, at once or when the processor of a process is free. */
export class HostTicks {
    /**
     * @param clock - clock of the deployment
     * @param queue - event queue of the deployment
     * @param performOutputs - performs the outputs of a tick
     */
    public constructor(
        private readonly clock: ManualClock,
        private readonly queue: EventQueue,
        private readonly performOutputs: PerformOutputs,
    ) {}

    /**
     * Delivers an input to a process that runs.
     *
     * @param host - the process
     * @param input - the input
     */
    public deliverInput<Input, Output>(host: CoreHost<Input, Output>, input: Input): void {
        if (host.isRunning) {
            host.core.accept(input);
            host.processor?.addInput(input as unknown as EntryInput);
            if (host.core.isUrgent(input)) {
                this.schedule(host);
            }
        }
    }

    /**
     * Schedules a tick.
     *
     * @param host - the process
     */
    public schedule<Input, Output>(host: CoreHost<Input, Output>): void {
        if (host.isTickQueued) {
            return;
        }
        host.isTickQueued = true;
        const startsAt = Math.max(this.clock.nowMilliseconds(), host.processor?.freeAt ?? 0);
        this.queue.schedule(startsAt, () => this.tick(host), undefined);
    }

    private tick<Input, Output>(host: CoreHost<Input, Output>): void {
        host.isTickQueued = false;
        if (!host.isRunning || host.isFrozen) {
            return;
        }
        const { core, processor } = host;
        const outputs = core.tick();
        if (processor === undefined) {
            this.performOutputs(host, outputs);
            return;
        }
        processor.runTick(outputs as unknown as readonly EntryOutput[]);
        const perform = (): void => {
            // What a process has not sent when it ends is lost.
            if (host.isRunning && host.core === core) {
                this.performOutputs(host, outputs);
            }
        };
        this.queue.schedule(processor.freeAt, perform, undefined);
    }
}

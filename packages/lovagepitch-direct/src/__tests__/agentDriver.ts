/**
 * Drives the core of one agent on a clock that the test advances.
 */
import { ManualClock } from "@lovagepitch/utils/clock";
import { AgentCore } from "../agent/agentCore.js";
import type { AgentInput, AgentOutput, WorkerView } from "../agent/agentPorts.js";
import type { EntryFrame, StartOrder } from "../model/frames.js";
import type { WorkerRegistration, WorkerReport } from "../model/workerStatus.js";

/** Address of the entry that the agent is connected to. */
export const entryAddress = "10.1.0.1:7720";

type ViewCall = AgentOutput & { readonly kind: "view" };

/** Clock that can advance at one of the next readings, as if the process was paused there. */
class InterruptedClock extends ManualClock {
    private readingsUntilPause = Number.POSITIVE_INFINITY;
    private pauseMilliseconds = 0;

    public override nowMilliseconds(): number {
        this.readingsUntilPause -= 1;
        if (this.readingsUntilPause === 0) {
            this.advanceTo(super.nowMilliseconds() + this.pauseMilliseconds);
        }
        return super.nowMilliseconds();
    }

    /** Reads the time for the test itself. */
    public get actualMilliseconds(): number {
        return super.nowMilliseconds();
    }

    public pauseAtReading(reading: number, milliseconds: number): void {
        this.readingsUntilPause = reading;
        this.pauseMilliseconds = milliseconds;
    }
}

/** An agent's core on a clock that the test advances. */
export class AgentDriver {
    public readonly outputs: AgentOutput[] = [];
    /** Number of ticks of the core. */
    public ticks = 0;
    private frameSequence = 0;
    private readonly clock = new InterruptedClock(1_000_000);
    private readonly core: AgentCore;

    /**
     * @param refusesConnections - true when attempts to connect are refused at once, false when they get no answer
     * @param incarnation - incarnation of the process
     */
    public constructor(private readonly refusesConnections: boolean, incarnation = "agent-1") {
        this.core = new AgentCore({ incarnation, instance: "side-1", availabilityZone: "zone-1" }, this.clock);
    }

    public accept(input: AgentInput): void {
        this.core.accept(input);
        this.tick();
    }

    public advance(milliseconds: number): void {
        const endsAt = this.clock.actualMilliseconds + milliseconds;
        while (this.clock.actualMilliseconds < endsAt) {
            const wakeAt = this.core.nextWakeAtMilliseconds() ?? endsAt;
            this.clock.advanceTo(Math.max(this.clock.actualMilliseconds + 1, Math.min(wakeAt, endsAt)));
            this.tick();
        }
    }

    /** Current time of the agent's clock, in milliseconds. */
    public get now(): number {
        return this.clock.actualMilliseconds;
    }

    /** Advances the clock while the agent's process is paused; what it has to do next waits for the next input or tick. */
    public pause(milliseconds: number): void {
        this.clock.advanceTo(this.clock.actualMilliseconds + milliseconds);
    }

    /** Pauses the process when it reads the clock for the given time from now, counted from 1. */
    public pauseAtReading(reading: number, milliseconds: number): void {
        this.clock.pauseAtReading(reading, milliseconds);
    }

    public listViewCalls(): readonly ViewCall[] {
        return this.outputs.filter((output): output is ViewCall => output.kind === "view");
    }

    /** Answers the latest view call; the worker's clock is that of the test unless the view has another. */
    public answerView(view: Omit<WorkerView, "workerClock"> & Partial<WorkerView>): void {
        const call = this.listViewCalls().at(-1)?.call ?? 0;
        this.accept({ kind: "view", call, view: { workerClock: this.clock.actualMilliseconds, ...view } });
    }

    /** Registers and confirms a worker, and connects an entry. */
    public prepare(worker: string): void {
        this.accept({ kind: "worker-reported", report: createReport(worker) });
        this.answerView({ running: [], ended: [] });
        this.connectEntry();
    }

    /** Connects an entry. */
    public connectEntry(): void {
        this.accept({ kind: "entries-found", entries: [{ address: entryAddress, availabilityZone: "zone-1" }] });
        this.accept({ kind: "connected", address: entryAddress });
        this.receiveStarts([]);
    }

    /** Receives a frame of the entry with start orders, whose lease was renewed at the given time before. */
    public receiveStarts(
        starts: readonly StartOrder[],
        ageMilliseconds = 0,
        others: Partial<Pick<EntryFrame, "stops" | "evacuations" | "invitations" | "reportedCapacity">> = {},
    ): void {
        this.frameSequence += 1;
        const frame = {
            entry: "entry-1",
            sequence: this.frameSequence,
            newestSentAt: this.clock.actualMilliseconds - ageMilliseconds,
            starts,
            stops: [],
            entryAddresses: [],
            configuration: { version: 1, configuration: undefined },
            ...others,
        };
        this.accept({ kind: "frame", address: entryAddress, frame });
    }

    /** Lists the ends that were reported to the entry. */
    public listReportedEnds(): readonly string[] {
        return this.outputs.flatMap(output => output.kind === "frame" ? output.frame.ended.map(({ end }) => end) : []);
    }

    private tick(): void {
        this.ticks += 1;
        const outputs = this.core.tick();
        this.outputs.push(...outputs);
        for (const output of outputs) {
            if (output.kind === "connect" && this.refusesConnections) {
                this.accept({ kind: "disconnected", address: output.address, wasRefused: true });
            }
        }
    }
}

/**
 * Creates the registration of a worker.
 *
 * @param id - incarnation of the worker
 * @returns a registration with 16 cores
 */
export function createRegistration(id: string): WorkerRegistration {
    const capacity = { milliCores: 16_000, memoryMegabytes: 32_768, accelerators: 0 };
    return { id, service: "drives", capacity, labels: [] };
}

/**
 * Creates a report of a ready worker.
 *
 * @param id - incarnation of the worker
 * @returns the report
 */
export function createReport(id: string): WorkerReport {
    return {
        ...createRegistration(id),
        isDraining: false,
        drainRemainingMilliseconds: undefined,
        workerClock: 7000,
        sequence: 3,
    };
}

/**
 * Creates a start order of the first run of a task.
 *
 * @param job - id of the job
 * @returns an order that needs one core
 */
export function createOrder(job: string): StartOrder {
    return {
        job,
        task: 0,
        run: 1,
        service: "drives",
        specification: "",
        needs: { milliCores: 1000, memoryMegabytes: 64, accelerators: 0 },
        estimatedMilliseconds: 80,
        mayWaitMilliseconds: 0,
        urgency: { priority: 0, isBegun: false, spareMilliseconds: 60 },
        maximumPerWorker: 100,
        requiredLabel: undefined,
    };
}

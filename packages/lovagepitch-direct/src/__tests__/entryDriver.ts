/**
 * Drives the core of one entry on a clock that the test advances. Agents are the frames that the test sends.
 */
import { ManualClock } from "@lovagepitch/utils/clock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import { EntryCore } from "../entry/entryCore.js";
import type { EntryOutput } from "../entry/entryPorts.js";
import type { DirectJob, JobAnswer } from "../model/directJob.js";
import type { AgentFrame, StartOrder } from "../model/frames.js";

/** Resources of each worker. */
const capacity = { milliCores: 16_000, memoryMegabytes: 32_768, accelerators: 0 };

const idle = { milliCores: 0, memoryMegabytes: 0, accelerators: 0 };

/** Time between two ticks, in milliseconds. */
const tickMilliseconds = 5;

/** An order, and the connection on which it was sent. */
export interface SentStart {
    readonly connection: number;
    readonly order: StartOrder;
}

/** An entry's core on a clock that the test advances. */
export class EntryDriver {
    public readonly outputs: EntryOutput[] = [];
    public readonly clock = new ManualClock(1_000_000);
    private readonly core = new EntryCore(
        { incarnation: "entry-1", instance: "front-1", availabilityZone: "zone-1", address: "10.1.0.1:7720" },
        this.clock,
        new RandomSource(1),
    );
    private nextRequest = 1;

    /** Submits a job of one task, and returns the id of the request. */
    public submit(id: string, others: Partial<DirectJob> = {}): number {
        const request = this.nextRequest;
        this.nextRequest += 1;
        const job: DirectJob = {
            id,
            route: "route-a",
            service: "drives",
            priority: 0,
            specification: "",
            taskCount: 1,
            needs: { milliCores: 1000, memoryMegabytes: 64, accelerators: 0 },
            estimatedMilliseconds: 1500,
            requiredLabel: undefined,
            maximumPerWorker: 100,
            stretch: 3,
            allowanceMilliseconds: 60,
            maximumAttempts: 3,
            callerWaitMilliseconds: 20_000,
            ...others,
        };
        this.core.accept({ kind: "submitted", request, job });
        this.tick();
        return request;
    }

    /** Breaks the connection of a waiting caller. */
    public disconnectCaller(request: number, job: string): void {
        this.core.accept({ kind: "caller-disconnected", request, job });
        this.tick();
    }

    /** Receives a frame of an agent whose worker is idle, unless the test says otherwise. */
    public receiveFrame(agent: string, connection: number, others: Partial<AgentFrame> = {}): void {
        const frame: AgentFrame = {
            agent,
            instance: `side-${agent}`,
            availabilityZone: "zone-1",
            sentAt: this.clock.nowMilliseconds(),
            includedSequence: 0,
            worker: {
                service: "drives",
                labels: [],
                capacity,
                free: capacity,
                awaited: idle,
                acceptsTasks: true,
                isOnTrial: false,
            },
            ended: [],
            openRuns: undefined,
            configuration: { version: 0, configuration: undefined },
            ...others,
        };
        this.core.accept({ kind: "frame", connection, frame });
        this.tick();
    }

    public advance(milliseconds: number): void {
        const endsAt = this.clock.nowMilliseconds() + milliseconds;
        while (this.clock.nowMilliseconds() < endsAt) {
            this.clock.advanceTo(Math.min(endsAt, this.clock.nowMilliseconds() + tickMilliseconds));
            this.tick();
        }
    }

    /** Lists the start orders that were sent. */
    public listStarts(): readonly SentStart[] {
        return this.outputs.flatMap(output => {
            return output.kind === "frame"
                ? output.frame.starts.map(order => ({ connection: output.connection, order }))
                : [];
        });
    }

    /** Lists the answers that were given. */
    public listAnswers(): readonly JobAnswer["kind"][] {
        return this.outputs.flatMap(output => output.kind === "answer" ? [output.answer.kind] : []);
    }

    private tick(): void {
        this.outputs.push(...this.core.tick());
    }
}

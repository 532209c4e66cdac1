/**
 * Creation of the cores and workers of a simulated deployment.
 */
import { AgentCore } from "@lovagepitch/direct/agent/agentCore";
import { EntryCore } from "@lovagepitch/direct/entry/entryCore";
import type { EntryInput, EntryOutput } from "@lovagepitch/direct/entry/entryPorts";
import type { EntryLocation } from "@lovagepitch/direct/model/entryLocation";
import type { ManualClock } from "@lovagepitch/utils/clock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import { BoundedProcessor } from "./boundedProcessor.js";
import { type CoreHost, createCoreHost } from "./coreHost.js";
import type { DirectDeploymentOptions } from "./directDeploymentOptions.js";
import type { DirectRecord } from "./directRecord.js";
import { FakeWorker } from "./fakeWorker.js";
import { reportIntervalMilliseconds } from "./workerReports.js";

/** Creates the parts of one deployment. */
export class DeploymentParts {
    private nextWorkerNumber = 1;

    /**
     * @param options - number of processes, capacity of the workers, task durations and seed
     * @param clock - clock of the deployment
     * @param record - records starts and ends of runs
     */
    public constructor(
        private readonly options: DirectDeploymentOptions,
        private readonly clock: ManualClock,
        private readonly record: DirectRecord,
    ) {}

    /**
     * Creates the process of an entry.
     *
     * @param index - index of the entry
     * @returns the process, with the processor that the options give it
     */
    public createEntryHost(index: number): CoreHost<EntryInput, EntryOutput> {
        const { entryMilliCores = [] } = this.options;
        const milliCores = entryMilliCores[index % Math.max(1, entryMilliCores.length)];
        const processor = milliCores === undefined ? undefined : new BoundedProcessor(this.clock, milliCores);
        return { ...createCoreHost(this.createEntryCore(index, 0, processor)), processor };
    }

    /**
     * Creates the core of an entry.
     *
     * @param index - index of the entry
     * @param incarnation - number of the process
     * @param processor - its processor; undefined when its ticks take no time
     * @returns the core
     */
    public createEntryCore(index: number, incarnation: number, processor?: BoundedProcessor): EntryCore {
        const identity = {
            incarnation: `entry-${index}-${incarnation}`,
            instance: `entry-${index}`,
            ...this.locateEntry(index),
        };
        const random = new RandomSource(this.options.seed * 1000 + index);
        return new EntryCore(identity, this.clock, random, this.options.createPolicies?.(), processor);
    }

    /**
     * Creates the core of an agent.
     *
     * @param index - index of the agent
     * @param incarnation - number of the process
     * @returns the core
     */
    public createAgentCore(index: number, incarnation: number): AgentCore {
        const identity = {
            incarnation: `agent-${index}-${incarnation}`,
            instance: `agent-${index}`,
            availabilityZone: this.getZone(index),
        };
        return new AgentCore(identity, this.clock, reportIntervalMilliseconds);
    }

    /**
     * Creates an incarnation of a worker.
     *
     * @param index - index of the worker, which determines its kind
     * @param id - id of the worker; a new one by default
     * @param setBackMilliseconds - time by which the wall clock of its machine is set back, in milliseconds
     * @returns the worker
     */
    public createWorker(index: number, id = `life-${this.nextWorkerNumber}`, setBackMilliseconds = 0): FakeWorker {
        this.nextWorkerNumber += 1;
        const { milliCores, workerKinds = [], getTaskDurationMilliseconds, getCrashMilliseconds } = this.options;
        const kind = workerKinds[index % Math.max(1, workerKinds.length)];
        const capacity = { milliCores: milliCores * (kind?.size ?? 1), memoryMegabytes: 32_768, accelerators: 0 };
        const labels = kind === undefined ? [] : [kind.label];
        const worker = new FakeWorker(
            id,
            capacity,
            this.clock,
            this.record,
            getTaskDurationMilliseconds,
            labels,
            getCrashMilliseconds,
            setBackMilliseconds,
        );
        worker.faults.slowdownFactor = 1 / (kind?.speed ?? 1);
        worker.faults.clockRate = this.options.workerClockRate ?? 1;
        return worker;
    }

    /**
     * Locates an entry.
     *
     * @param index - index of the entry
     * @returns its address and availability zone
     */
    public locateEntry(index: number): EntryLocation & { readonly availabilityZone: string } {
        return { address: String(index), availabilityZone: this.getZone(index) };
    }

    /**
     * Locates all entries.
     *
     * @param count - number of entries
     * @returns their addresses and availability zones
     */
    public locateEntries(count: number): readonly EntryLocation[] {
        return Array.from({ length: count }, (_, index) => this.locateEntry(index));
    }

    private getZone(index: number): string {
        return `zone-${index % (this.options.zones ?? 1)}`;
    }
}

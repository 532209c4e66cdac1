/**
 * An entry's core on a clock that the test moves, with agents that report what the test tells them to.
 */
import { ManualClock } from "@lovagepitch/utils/clock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import assert from "node:assert/strict";
import { EntryCore } from "../entry/entryCore.js";
import type { EntryInput, EntryOutput } from "../entry/entryPorts.js";
import type { DirectJob, JobAnswer } from "../model/directJob.js";
import type { AgentFrame, EndedRun, EntryFrame, RunIdentity, StartOrder } from "../model/frames.js";
import type { ProcessorTime } from "../model/processorTime.js";
import type { EntryPolicies } from "../policies/entryPolicies.js";
import { entryAddress } from "./agentDriver.js";

/** Service of all workers and jobs. */
export const service = "drives";

/** Interval between the ticks and frames while time passes, in milliseconds. */
const stepMilliseconds = 20;

const capacity = { milliCores: 8000, memoryMegabytes: 8192, accelerators: 0 };

const noResources = { milliCores: 0, memoryMegabytes: 0, accelerators: 0 };

/**
 * Creates a job of tasks that each need one core.
 *
 * @param id - id of the job
 * @param fields - fields that differ from the default
 * @returns the job
 */
export function createJob(id: string, fields: Partial<DirectJob> = {}): DirectJob {
    return {
        id,
        route: "route-a",
        service,
        priority: 0,
        specification: "work",
        taskCount: 1,
        needs: { milliCores: 1000, memoryMegabytes: 64, accelerators: 0 },
        estimatedMilliseconds: 200,
        requiredLabel: undefined,
        maximumPerWorker: Number.MAX_SAFE_INTEGER,
        stretch: 1.6,
        allowanceMilliseconds: 60,
        maximumAttempts: 3,
        callerWaitMilliseconds: 5000,
        ...fields,
    };
}

/** An entry and its connected agents. */
export class ConnectedEntry {
    /** Everything that the entry has sent out, in order. */
    public readonly outputs: EntryOutput[] = [];
    /** True while the workers have no room. */
    public isFull = false;
    public readonly clock = new ManualClock(1_000_000);
    private readonly core: EntryCore;
    /** Connection of each agent. */
    private readonly connections = new Map<string, number>();
    private nextConnection = 1;
    private nextRequest = 1;

    /**
     * @param incarnation - incarnation of the entry's process
     * @param policies - policies that it decides with
     * @param processorTime - time for which its process has run
     */
    public constructor(incarnation = "entry-1", policies?: EntryPolicies, processorTime?: ProcessorTime) {
        this.core = new EntryCore(
            { incarnation, instance: "front-1", availabilityZone: "zone-1", address: entryAddress },
            this.clock,
            new RandomSource(1),
            policies,
            processorTime,
        );
    }

    /**
     * Passes an input to the core and performs a tick.
     *
     * @param inputs - inputs of the core
     */
    public accept(...inputs: readonly EntryInput[]): void {
        inputs.forEach(input => this.core.accept(input));
        this.outputs.push(...this.core.tick());
    }

    /**
     * Passes an input to the core, which processes it in the next tick.
     *
     * @param input - input of the core
     */
    public enqueue(input: EntryInput): void {
        this.core.accept(input);
    }

    /**
     * Describes the progress of an open job.
     *
     * @param job - id of the job
     * @param route - name of its route
     * @returns the progress, or undefined for an unknown job
     */
    public describeJob(job: string, route: string): "waiting" | "started" | undefined {
        return this.core.describeJob(job, route);
    }

    /**
     * Connects an agent with an idle worker, or connects it again.
     *
     * @param agent - incarnation of the agent
     * @param fields - fields of its first frame that differ from the default
     */
    public connect(agent: string, fields: Partial<AgentFrame> = {}): void {
        this.connections.set(agent, this.nextConnection);
        this.nextConnection += 1;
        this.report(agent, { openRuns: [], ...fields });
    }

    /**
     * Closes the connection of an agent, which sends no frame any more.
     *
     * @param agent - incarnation of the agent
     */
    public disconnect(agent: string): void {
        const connection = this.connections.get(agent) ?? 0;
        this.connections.delete(agent);
        this.accept({ kind: "disconnected", connection });
    }

    /**
     * Lets an agent send a frame.
     *
     * @param agent - incarnation of the agent
     * @param fields - fields of the frame that differ from the default
     */
    public report(agent: string, fields: Partial<AgentFrame> = {}): void {
        const sent = this.listFrames(agent).at(-1);
        const frame: AgentFrame = {
            agent,
            instance: `side-${agent}`,
            availabilityZone: "zone-1",
            sentAt: this.clock.nowMilliseconds(),
            includedSequence: sent?.sequence ?? 0,
            worker: {
                service,
                labels: [],
                capacity,
                free: this.isFull ? noResources : capacity,
                awaited: noResources,
                acceptsTasks: true,
                isOnTrial: false,
            },
            ended: [],
            openRuns: undefined,
            configuration: { version: 0, configuration: undefined },
            ...fields,
        };
        this.accept({ kind: "frame", connection: this.connections.get(agent) ?? 0, frame });
    }

    /**
     * Lets an agent report the end of a run.
     *
     * @param agent - incarnation of the agent
     * @param run - the run
     * @param end - how it ended
     */
    public reportEnd(agent: string, run: RunIdentity, end: EndedRun["end"]): void {
        this.report(agent, { ended: [{ ...run, end, ranMilliseconds: 100 }] });
    }

    /**
     * Lets time pass, in which the connected agents send frames.
     *
     * @param milliseconds - time to pass
     */
    public advance(milliseconds: number): void {
        const end = this.clock.nowMilliseconds() + milliseconds;
        while (this.clock.nowMilliseconds() < end) {
            this.clock.advanceTo(Math.min(this.clock.nowMilliseconds() + stepMilliseconds, end));
            for (const agent of this.connections.keys()) {
                this.report(agent);
            }
            this.accept();
        }
    }

    /**
     * Submits a job.
     *
     * @param job - the job
     * @param isMemoryFull - true when open requests hold as much memory as they may
     * @returns id of the caller's request
     */
    public submit(job: DirectJob, isMemoryFull = false): number {
        const request = this.nextRequest;
        this.nextRequest += 1;
        this.accept({ kind: "submitted", request, job, isMemoryFull });
        return request;
    }

    /**
     * Breaks the connection of a caller.
     *
     * @param request - id of its request
     * @param job - id of its job
     */
    public breakCaller(request: number, job: string): void {
        this.accept({ kind: "caller-disconnected", request, job });
    }

    /**
     * Returns the answer to a request.
     *
     * @param request - id of the request
     * @returns the only answer, or undefined when there is none yet
     */
    public findAnswer(request: number): JobAnswer | undefined {
        const answers = this.outputs.flatMap(output => {
            return output.kind === "answer" && output.request === request ? [output.answer] : [];
        });
        assert.ok(answers.length <= 1, `${answers.length} answers to one request`);
        return answers[0];
    }

    /**
     * Lists the start orders that were sent to any agent.
     *
     * @param job - id of their job
     * @returns the orders, oldest first
     */
    public listStarts(job: string): readonly StartOrder[] {
        return this.outputs.flatMap(output => output.kind === "frame" ? output.frame.starts : [])
            .filter(order => order.job === job);
    }

    /**
     * Lists the frames that were sent to an agent on its present connection.
     *
     * @param agent - incarnation of the agent
     * @returns the frames, oldest first
     */
    public listFrames(agent: string): readonly EntryFrame[] {
        const connection = this.connections.get(agent);
        return this.outputs.flatMap(output => {
            return output.kind === "frame" && output.connection === connection ? [output.frame] : [];
        });
    }
}

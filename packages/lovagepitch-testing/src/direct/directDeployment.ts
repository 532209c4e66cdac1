/**
 * Entries, agents and workers of direct jobs in one process, on a clock that the test advances. The cores are the
 * production code; connections, workers and callers are fakes with fault injection.
 */
import type { AgentInput, AgentOutput } from "@lovagepitch/direct/agent/agentPorts";
import type { EntryCore } from "@lovagepitch/direct/entry/entryCore";
import type { EntryInput, EntryOutput } from "@lovagepitch/direct/entry/entryPorts";
import type { DirectJob } from "@lovagepitch/direct/model/directJob";
import type { DispatchConfiguration } from "@lovagepitch/direct/model/dispatchConfiguration";
import type { WorkerRegistration } from "@lovagepitch/direct/model/workerStatus";
import type { ZoneEvacuations } from "@lovagepitch/direct/model/zoneEvacuations";
import { ManualClock } from "@lovagepitch/utils/clock";
import { EventQueue } from "../harness/eventQueue.js";
import { type CoreHost, createCoreHost } from "./coreHost.js";
import { defaultJob } from "./defaultJob.js";
import { DeploymentParts } from "./deploymentParts.js";
import type { DirectDeploymentOptions } from "./directDeploymentOptions.js";
import { DirectRecord } from "./directRecord.js";
import { EntryNetwork } from "./entryNetwork.js";
import type { FakeWorker } from "./fakeWorker.js";
import { getAt } from "./getAt.js";
import { HostTicks } from "./hostTicks.js";
import { LinkNetwork } from "./linkNetwork.js";
import { WorkerFleet } from "./workerFleet.js";
import { WorkerPort } from "./workerPort.js";
import { reportIntervalMilliseconds } from "./workerReports.js";

/** Simulated deployment for direct jobs. */
export class DirectDeployment {
    public readonly clock = new ManualClock(1_000_000);
    public readonly record = new DirectRecord(this.clock);
    public readonly queue = new EventQueue(this.clock);
    public readonly fleet: WorkerFleet;
    public readonly workers: readonly FakeWorker[];
    private readonly parts: DeploymentParts;
    private readonly entries: CoreHost<EntryInput, EntryOutput>[] = [];
    private readonly agents: CoreHost<AgentInput, AgentOutput>[] = [];
    private readonly workerPort: WorkerPort;
    private readonly ticks = new HostTicks(this.clock, this.queue, (host, outputs) => {
        this.performOutputs(host, outputs);
    });
    public readonly linkNetwork = new LinkNetwork(this.clock, this.queue, this.entries, this.agents, (host, input) => {
        this.deliverInput(host, input);
    });
    public readonly entryNetwork = new EntryNetwork(this.clock, this.queue, this.entries, (host, input) => {
        this.deliverInput(host, input);
    }, this.record);
    private readonly jobs = new Map<string, DirectJob>();
    private readonly lastReportedFreeMilliCores = new Map<number, number>();
    /** Worker that each agent has recorded for its next process. */
    private readonly recordedWorkers = new Map<number, WorkerRegistration | undefined>();
    private readonly submissionTimes = new Map<string, number[]>();
    /** Numbers of log lines of agents, by event. */
    public readonly agentEvents = new Map<string, number>();
    /** True while the store takes no records of agents. */
    public losesRecords = false;
    private nextRequestId = 1;

    /**
     * @param options - number of processes, capacity of the workers, task durations and seed
     */
    public constructor(options: DirectDeploymentOptions) {
        this.parts = new DeploymentParts(options, this.clock, this.record);
        this.fleet = new WorkerFleet(this.parts, this.clock, this.queue, (index, report) => {
            this.deliverInput(this.getAgentHost(index), { kind: "worker-reported", report });
        });
        this.workers = this.fleet.workers;
        this.workerPort = new WorkerPort(this.clock, this.queue, this.workers, this.agents, (host, input) => {
            this.deliverInput(host, input);
        });
        for (let index = 0; index < options.entries; index += 1) {
            this.entries.push(this.parts.createEntryHost(index));
        }
        const locations = this.parts.locateEntries(options.entries);
        this.entries.forEach(host => this.deliverInput(host, { kind: "entries-found", entries: locations }));
        for (let index = 0; index < options.workers; index += 1) {
            this.fleet.add();
            this.agents.push(createCoreHost(this.parts.createAgentCore(index, 0)));
            this.sendEntryAddresses(index);
            this.fleet.sendReport(index);
        }
        const runPeriodicTick = (): void => {
            this.scheduleAllTicks();
            this.fleet.scheduleReturns();
            this.queue.schedule(this.clock.nowMilliseconds() + 5, runPeriodicTick, undefined);
        };
        this.queue.schedule(this.clock.nowMilliseconds(), runPeriodicTick, undefined);
        this.advance(200);
    }

    /**
     * Runs all events of the next milliseconds and advances the clock.
     *
     * @param milliseconds - time to advance, in milliseconds
     */
    public advance(milliseconds: number): void {
        this.queue.runUntil(this.clock.nowMilliseconds() + milliseconds);
    }

    /**
     * Submits a job.
     *
     * @param entry - index of the entry
     * @param job - the job; missing fields are taken from `defaultJob`
     * @param alwaysFails - true if every run of the job fails
     * @returns id of the caller's request
     */
    public submit(entry: number, job: Partial<DirectJob> & { readonly id: string }, alwaysFails = false): number {
        const complete = { ...defaultJob, ...job };
        const request = this.nextRequestId;
        this.nextRequestId += 1;
        this.jobs.set(job.id, complete);
        this.submissionTimes.set(job.id, [...this.listSubmissions(job.id), this.clock.nowMilliseconds()]);
        this.record.recordSubmission(entry, job.id, complete.specification, alwaysFails, request);
        this.deliverInput(this.getEntryHost(entry), { kind: "submitted", request, job: complete });
        return request;
    }

    /**
     * Closes the connection of a waiting caller, which cancels the job unless other callers wait for it.
     *
     * @param entry - index of the entry
     * @param request - id of the caller's request
     * @param job - id of the job
     */
    public closeCallerConnection(entry: number, request: number, job: string): void {
        this.record.recordDisconnection(entry, job, request);
        this.deliverInput(this.getEntryHost(entry), { kind: "caller-disconnected", request, job });
    }

    /**
     * Cancels a job at its caller's request; the waiting callers are told.
     *
     * @param entry - index of the entry
     * @param job - id of the job
     */
    public cancel(entry: number, job: string): void {
        this.deliverInput(this.getEntryHost(entry), { kind: "cancelled", job, route: defaultJob.route });
    }

    /**
     * Kills the process of an entry and closes its connections.
     *
     * @param entry - index of the entry
     */
    public killEntry(entry: number): void {
        this.getEntryHost(entry).isRunning = false;
        this.record.recordEntryEnd(entry);
        this.linkNetwork.close(other => other === entry);
        this.entryNetwork.closeSome((client, server) => client === entry || server === entry);
    }

    /**
     * Makes an entry refuse new jobs and end its open ones, as at the end of a graceful shutdown.
     *
     * @param entry - index of the entry
     */
    public interruptEntry(entry: number): void {
        const host = this.getEntryHost(entry);
        this.deliverInput(host, { kind: "shut-down" });
        this.deliverInput(host, { kind: "interrupt" });
    }

    /**
     * Starts a new incarnation of a killed entry. It has read nothing from the store.
     *
     * @param entry - index of the entry
     */
    public restartEntry(entry: number): void {
        const host = this.getEntryHost(entry);
        host.incarnation += 1;
        host.core = this.parts.createEntryCore(entry, host.incarnation, host.processor);
        host.isRunning = true;
        this.deliverInput(host, { kind: "entries-found", entries: this.parts.locateEntries(this.entries.length) });
    }

    /**
     * Lets an entry read the evacuated zones from the store.
     *
     * @param entry - index of the entry
     * @param evacuations - zones that it reads
     */
    public evacuate(entry: number, evacuations: ZoneEvacuations): void {
        this.deliverInput(this.getEntryHost(entry), { kind: "evacuations-read", evacuations });
    }

    /**
     * Kills the process of an agent and closes its connections. The worker keeps running.
     *
     * @param agent - index of the agent
     */
    public killAgent(agent: number): void {
        this.getAgentHost(agent).isRunning = false;
        this.linkNetwork.close((_, other) => other === agent);
    }

    /**
     * Starts a new incarnation of a killed agent.
     *
     * @param agent - index of the agent
     * @param learnsFrom - `report` of the worker at once, or `record` of its predecessor and a report at the next interval
     */
    public restartAgent(agent: number, learnsFrom: "report" | "record" = "report"): void {
        const host = this.getAgentHost(agent);
        host.incarnation += 1;
        host.core = this.parts.createAgentCore(agent, host.incarnation);
        host.isRunning = true;
        this.sendEntryAddresses(agent);
        const registration = this.recordedWorkers.get(agent);
        if (learnsFrom === "report") {
            this.fleet.sendReport(agent);
        }
        else if (registration !== undefined) {
            this.deliverInput(host, { kind: "worker-restored", registration });
        }
    }

    /**
     * Starts the graceful shutdown of an agent.
     *
     * @param agent - index of the agent
     */
    public shutDownAgent(agent: number): void {
        this.deliverInput(this.getAgentHost(agent), { kind: "shut-down" });
    }

    /**
     * Freezes or resumes a process. Inputs that arrive while it is frozen are processed after it resumes.
     *
     * @param kind - role of the process
     * @param index - index of the entry or agent
     * @param isFrozen - true to freeze, false to resume
     */
    public setFrozen(kind: "entry" | "agent", index: number, isFrozen: boolean): void {
        const host = kind === "entry" ? this.getEntryHost(index) : this.getAgentHost(index);
        host.isFrozen = isFrozen;
    }

    /**
     * Starts or ends a network partition around a process. While it lasts, attempts to open a connection get no
     * response; connections that were open when it started never carry data again.
     *
     * @param kind - role of the process
     * @param index - index of the entry or agent
     * @param isPartitioned - true to start the partition, false to end it
     */
    public setPartitioned(kind: "entry" | "agent", index: number, isPartitioned: boolean): void {
        const host = kind === "entry" ? this.getEntryHost(index) : this.getAgentHost(index);
        host.isPartitioned = isPartitioned;
        this.linkNetwork.silence((entry, agent) => isPartitioned && (kind === "entry" ? entry : agent) === index);
        if (isPartitioned && kind === "entry") {
            this.entryNetwork.silence((client, server) => client === index || server === index);
        }
    }

    /** Makes all open connections drop their data permanently without being closed. New connections work. */
    public silenceConnections(): void {
        this.linkNetwork.silence(() => true);
        this.entryNetwork.silence(() => true);
    }

    /**
     * Lists when a job was submitted.
     *
     * @param job - id of the job
     * @returns instants of its submissions, in milliseconds
     */
    public listSubmissions(job: string): readonly number[] {
        return this.submissionTimes.get(job) ?? [];
    }

    /**
     * Gets the free capacity of a worker that its agent last reported to an entry.
     *
     * @param agent - index of the agent
     * @returns thousandths of a core; -1 if nothing was reported
     */
    public freeMilliCores(agent: number): number {
        return this.lastReportedFreeMilliCores.get(agent) ?? -1;
    }

    /**
     * Lets an entry read a configuration from the store.
     *
     * @param entry - index of the entry
     * @param configuration - configuration that it reads
     */
    public configure(entry: number, configuration: DispatchConfiguration): void {
        this.deliverInput(this.getEntryHost(entry), { kind: "configured", configuration, source: "store" });
    }

    /**
     * Gets the configuration version that an entry has in force.
     *
     * @param entry - index of the entry
     * @returns the version; 0 without a configuration
     */
    public getConfigurationVersion(entry: number): number {
        return (this.getEntryHost(entry).core as EntryCore).configuration?.version ?? 0;
    }

    private sendEntryAddresses(agent: number): void {
        const entries = this.parts.locateEntries(this.entries.length);
        this.deliverInput(this.getAgentHost(agent), { kind: "entries-found", entries });
    }

    private scheduleAllTicks(): void {
        const now = this.clock.nowMilliseconds();
        if (now % reportIntervalMilliseconds === 0) {
            this.agents.forEach((_, index) => this.fleet.sendReport(index));
        }
        this.entries.forEach(host => this.ticks.schedule(host));
        this.agents.forEach(host => this.ticks.schedule(host));
    }

    private deliverInput<Input, Output>(host: CoreHost<Input, Output>, input: Input): void {
        this.ticks.deliverInput(host, input);
    }

    private performOutputs<Input, Output>(host: CoreHost<Input, Output>, outputs: readonly Output[]): void {
        const entry = this.entries.indexOf(host as unknown as CoreHost<EntryInput, EntryOutput>);
        const agent = this.agents.indexOf(host as unknown as CoreHost<AgentInput, AgentOutput>);
        for (const output of outputs) {
            if (entry >= 0) {
                this.performEntryOutput(entry, output as EntryOutput);
            }
            else {
                this.performAgentOutput(agent, output as AgentOutput);
            }
        }
    }

    private performEntryOutput(entry: number, output: EntryOutput): void {
        this.record.history?.addEntryOutput(entry, output);
        if (output.kind === "answer") {
            const { request, job, answer } = output;
            this.record.recordAnswer(entry, request, job, answer, this.jobs.get(job)?.taskCount ?? 0);
            this.linkNetwork.sendAnswer(entry);
        }
        else if (output.kind === "frame") {
            this.linkNetwork.sendToAgent(output.connection, output.frame);
        }
        else if (output.kind === "ownership") {
            this.linkNetwork.sendOwnership(entry, Number(output.address), output.message);
        }
        else if (output.kind === "request-capacity") {
            const { address, request } = output;
            this.linkNetwork.sendRequest(entry, Number(address), request);
        }
        else {
            this.entryNetwork.perform(entry, output);
        }
    }

    private performAgentOutput(agent: number, output: AgentOutput): void {
        this.record.history?.addAgentOutput(agent, output);
        switch (output.kind) {
            case "connect":
                this.linkNetwork.connect(agent, Number(output.address));
                return;
            case "disconnect":
                this.linkNetwork.close((entry, other) => entry === Number(output.address) && other === agent, true);
                return;
            case "frame":
                this.lastReportedFreeMilliCores.set(agent, output.frame.worker?.free.milliCores ?? -1);
                this.linkNetwork.sendToEntry(agent, Number(output.address), output.frame);
                return;
            case "start":
            case "stop":
                this.workerPort.perform(agent, output);
                return;
            case "view":
                this.workerPort.requestView(agent, output.call, output);
                return;
            case "log":
                this.agentEvents.set(output.event, (this.agentEvents.get(output.event) ?? 0) + 1);
                return;
            case "worker-changed":
                if (!this.losesRecords) {
                    this.recordedWorkers.set(agent, output.registration);
                }
                return;
            default:
        }
    }

    /**
     * Gets the process of an entry.
     *
     * @param index - index of the entry
     * @returns the process
     */
    public getEntryHost(index: number): CoreHost<EntryInput, EntryOutput> {
        return getAt(this.entries, index);
    }

    private getAgentHost(index: number): CoreHost<AgentInput, AgentOutput> {
        return getAt(this.agents, index);
    }
}

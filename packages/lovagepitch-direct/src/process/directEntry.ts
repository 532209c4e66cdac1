/**
 * Process of an entry: executes the outputs of the entry's core.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import { TickLoop } from "@lovagepitch/utils/tickLoop";
import type { BoundedHttpServer } from "../connections/boundedHttpServer.js";
import {
    defaultResources,
    findConnectionLimits,
    type ListenerKind,
    type ProcessResources,
} from "../connections/connectionLimits.js";
import { type CancellationOutcome, EntryCore } from "../entry/entryCore.js";
import type { EntryInput, EntryOutput } from "../entry/entryPorts.js";
import type { EntryIdentity } from "../entry/entryState.js";
import { AgentListener, type AgentListenerEvents } from "../links/agentListener.js";
import { CapacityDatagrams } from "../links/capacityDatagrams.js";
import type { DirectJob, JobAnswer } from "../model/directJob.js";
import type { DispatchConfiguration, Route } from "../model/dispatchConfiguration.js";
import type { EntryLocation } from "../model/entryLocation.js";
import type { ZoneEvacuations } from "../model/zoneEvacuations.js";
import { createEntryPolicies, type EntryPolicySettings } from "../policies/entryPolicies.js";
import { DirectMetrics } from "./directMetrics.js";
import { addEntryGauges } from "./entryGauges.js";
import { EventLoopTime } from "./eventLoopTime.js";
import { ForwardingPort } from "./forwardingPort.js";
import { type ListenerOptions, ProcessListeners } from "./processListeners.js";
import { RateLimitedLog } from "./rateLimitedLog.js";
import { StopDelays } from "./stopDelays.js";
import { UnreadableFrames } from "./unreadableFrames.js";
import { addWorkTotals } from "./workTotals.js";

/** Options of an entry. */
export interface DirectEntryOptions {
    readonly identity: EntryIdentity;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** IP address that agents connect to. */
    readonly host: string;
    /** TCP port that agents connect to; 0 for any free one. */
    readonly port: number;
    /** Settings that choose its policies. */
    readonly policies?: EntryPolicySettings;
    /** Memory and descriptors of the process; those of a small instance when they are not known. */
    readonly resources?: ProcessResources | undefined;
}

/** A submitted job whose caller waits for the answer. */
export interface Submission {
    /** Reports that the caller has closed the connection. */
    readonly abandon: () => void;
}

/** Entry that accepts callers' jobs and places their tasks through agents. */
export class DirectEntry {
    private readonly core: EntryCore;
    private readonly loop: TickLoop<EntryInput, EntryOutput>;
    private readonly listener: AgentListener;
    private readonly forwarding: ForwardingPort;
    private readonly datagrams: CapacityDatagrams;
    private readonly log: RateLimitedLog;
    private readonly listeners: ProcessListeners;
    private readonly metrics = new DirectMetrics();
    private readonly stopDelays: StopDelays;
    private readonly unreadableFrames: UnreadableFrames;
    private readonly answerCallbacks = new Map<number, (answer: JobAnswer) => void>();
    private nextRequest = 1;
    private wasReady = false;
    private unsentBytes = 0;

    /**
     * @param options - identity, clock, random source and address for agents
     */
    public constructor(private readonly options: DirectEntryOptions) {
        const { identity, clock, random } = options;
        this.log = new RateLimitedLog(identity.instance, clock, this.metrics);
        this.listeners = new ProcessListeners(clock, this.log, this.metrics, options.resources ?? defaultResources);
        this.unreadableFrames = new UnreadableFrames(this.log, this.metrics);
        this.stopDelays = new StopDelays(
            clock,
            milliseconds => this.metrics.observeStopDelay(milliseconds),
            (milliseconds, callers) => {
                this.log.write("warn", "callers that had gone were noticed late", {
                    milliseconds: Math.round(milliseconds),
                    callers,
                });
            },
        );
        this.core = new EntryCore(
            identity,
            clock,
            random,
            createEntryPolicies(options.policies),
            new EventLoopTime(),
        );
        this.loop = new TickLoop(this.core, clock, outputs => this.performAll(outputs));
        this.datagrams = new CapacityDatagrams(
            request => this.loop.accept({ kind: "capacity-requested", request }),
            reason => this.log.write("warn", "request for capacity failed", { reason }),
            message => this.loop.accept({ kind: "ownership", message, receivedAt: clock.nowMilliseconds() }),
        );
        this.listener = this.createAgentListener();
        this.forwarding = new ForwardingPort(
            clock,
            this.listener,
            input => this.loop.accept(input),
            end => this.unreadableFrames.record(end),
        );
        addEntryGauges(this.metrics, {
            core: this.core,
            takeLargestDelayMilliseconds: () => this.loop.takeLargestDelayMilliseconds(),
            countUnsentBytes: () => this.listener.countUnsentBytes(),
        });
        addWorkTotals(this.metrics, { frames: this.listener.totals, countTicks: () => this.loop.ticks });
        this.metrics.addTotals("datagrams_total", "Datagrams between entries", "direction", {
            sent: () => this.datagrams.sentCount,
            received: () => this.datagrams.receivedCount,
        });
    }

    /** The configuration in force. */
    public get configuration(): DispatchConfiguration | undefined {
        return this.core.configuration;
    }

    /** Number of requests that wait for an answer. */
    public get openRequests(): number {
        return this.answerCallbacks.size;
    }

    /** True when the entry can serve callers; a change is logged. */
    public get isReady(): boolean {
        const { isReady } = this.core;
        if (isReady !== this.wasReady) {
            this.wasReady = isReady;
            this.log.write("info", isReady ? "entry is ready" : "entry is not ready", {
                configurationVersion: this.core.configuration?.version,
            });
        }
        return isReady;
    }

    /**
     * Starts listening for agents.
     *
     * @returns the bound port; rejects when the address cannot be bound
     */
    public async start(): Promise<number> {
        const port = await this.listener.listen(this.options.host, this.options.port);
        await this.datagrams.listen(this.options.host, port);
        const { incarnation, availabilityZone } = this.options.identity;
        this.log.write("info", "entry starts", { incarnation, availabilityZone, port });
        this.loop.schedule();
        return port;
    }

    /**
     * Finds the route of a request.
     *
     * @param host - host name of the request, without a port
     * @param path - path of the request, without a query
     * @returns the route, or undefined when there is none
     */
    public findRoute(host: string, path: string): Route | undefined {
        return this.core.findRoute(host, path);
    }

    /**
     * Submits a job.
     *
     * @param job - job to run
     * @param onAnswer - called once with the answer, unless the submission is abandoned first
     * @param earliestArrival - earliest instant at which it may have arrived if its connection was accepted late, in
     *   monotonic milliseconds
     * @param isMemoryFull - true when open requests hold as much memory as they may
     * @returns the submission, which can be abandoned
     */
    public submit(
        job: DirectJob,
        onAnswer: (answer: JobAnswer) => void,
        earliestArrival?: number,
        isMemoryFull?: boolean,
    ): Submission {
        const request = this.nextRequest;
        this.nextRequest += 1;
        this.answerCallbacks.set(request, onAnswer);
        this.loop.accept({ kind: "submitted", request, job, earliestArrival, isMemoryFull });
        return {
            abandon: () => {
                if (this.answerCallbacks.delete(request)) {
                    this.stopDelays.recordGoneCaller();
                    this.loop.accept({ kind: "caller-disconnected", request, job: job.id });
                }
            },
        };
    }

    /**
     * Finds the earliest instant at which a connection that is accepted now may have arrived.
     *
     * @returns monotonic milliseconds
     */
    public findEarliestArrival(): number {
        return this.core.findEarliestArrival();
    }

    /**
     * Cancels the job that a path names, also when its route was removed after it was submitted.
     *
     * @param host - host name of the request in lower case, without a port
     * @param path - path of the request, without a query
     * @returns whether such a job was open at this entry, or a route for it was ever known
     */
    public cancel(host: string, path: string): CancellationOutcome {
        const outcome = this.core.cancel(host, path);
        this.loop.schedule();
        return outcome;
    }

    /**
     * Describes the progress of an open job.
     *
     * @param id - id of the job
     * @param route - name of the job's route
     * @returns the progress, or undefined when no job of that id and route is open at this entry
     */
    public describeJob(id: string, route: string): "waiting" | "started" | undefined {
        return this.core.describeJob(id, route);
    }

    /**
     * Counts the jobs of a route of which no task may have started.
     *
     * @param route - name of the route
     * @returns number of waiting jobs
     */
    public countWaiting(route: string): number {
        return this.core.countWaiting(route);
    }

    /**
     * Applies a version of the configuration from the store.
     *
     * @param configuration - version that was read
     */
    public configure(configuration: DispatchConfiguration): void {
        this.loop.accept({ kind: "configured", configuration, source: "store" });
    }

    /**
     * Applies the evacuated zones that the store holds.
     *
     * @param evacuations - zones as of a version of the store; they may repeat or be older than earlier ones
     */
    public evacuate(evacuations: ZoneEvacuations): void {
        // Also with the same zones: a later revision outranks what a process that was paused may still name.
        if (evacuations.revision > this.core.evacuations.revision) {
            this.loop.accept({ kind: "evacuations-read", evacuations });
        }
    }

    /**
     * Adds entries, whose addresses are sent to agents.
     *
     * @param entries - locations of the entries
     */
    public addEntries(entries: readonly EntryLocation[]): void {
        this.loop.accept({ kind: "entries-found", entries });
    }

    /** Logs that the entry is being taken out of the balancer's rotation. Requests that still arrive are served. */
    public leaveRotation(): void {
        this.log.write("info", "entry leaves rotation", { openRequests: this.answerCallbacks.size });
        this.wasReady = false;
    }

    /** Refuses new jobs; open jobs continue. */
    public refuseNewJobs(): void {
        this.loop.accept({ kind: "shut-down" });
    }

    /** Ends and answers every open job; the callers may submit them again. */
    public interruptJobs(): void {
        this.loop.accept({ kind: "interrupt" });
    }

    /** Closes the connections to agents, which then stop the remaining runs of this entry. */
    public stop(): void {
        this.log.write("info", "entry stops", { openRequests: this.answerCallbacks.size });
        this.loop.stop();
        this.listener.close();
        this.forwarding.close();
        this.datagrams.close();
    }

    /**
     * Adds the numbers of calls to the metrics.
     *
     * @param calls - functions that return the number of calls since the start, by called part of the platform
     */
    public addCallTotals(calls: Readonly<Record<string, () => number>>): void {
        this.metrics.addTotals("calls_total", "Calls that the process has made", "callee", calls);
    }

    /**
     * Serves the metrics of the process.
     *
     * @param address - host and port to listen on
     * @returns the bound port; rejects when the address cannot be bound
     */
    public serveMetrics(address: string): Promise<number> {
        return this.metrics.serve(address, this.listeners);
    }

    /**
     * Creates an HTTP server that uses its part of the process's memory and descriptors.
     *
     * @param kind - kind of the listener, which decides on its part
     * @param options - limits and callbacks
     * @returns the server, which does not listen yet
     */
    public createHttpServer(kind: ListenerKind, options: ListenerOptions): BoundedHttpServer {
        return this.listeners.create(kind, options);
    }

    /**
     * Writes a log line.
     *
     * @param level - severity
     * @param event - message, which is also the event that the metrics count
     * @param fields - structured values that explain the event
     */
    public writeLog(level: "info" | "warn", event: string, fields: Readonly<Record<string, unknown>>): void {
        this.log.write(level, event, fields);
    }

    private createAgentListener(): AgentListener {
        const events: AgentListenerEvents = {
            onFrame: (connection, frame) => {
                const receivedAt = this.options.clock.nowMilliseconds();
                this.loop.accept({ kind: "frame", connection, frame, receivedAt });
            },
            onForwardingFrame: (connection, frame) => {
                this.loop.accept({ kind: "forwarding-frame", connection, frame });
            },
            onDisconnected: (connection, end) => {
                this.unreadableFrames.record(end);
                this.loop.accept({ kind: "disconnected", connection });
            },
            onClosed: (reason, heldBytes) => this.listeners.report("peers", reason, heldBytes),
        };
        const limits = findConnectionLimits(this.options.resources ?? defaultResources, "peers");
        return new AgentListener(events, this.options.clock, limits);
    }

    private performAll(outputs: readonly EntryOutput[]): void {
        outputs.forEach(output => this.perform(output));
        this.stopDelays.recordTick();
        const unsentBytes = this.listener.countUnsentBytes();
        if (unsentBytes !== this.unsentBytes) {
            this.unsentBytes = unsentBytes;
            // Without a tick of its own: ticks are frequent while tasks wait.
            this.core.accept({ kind: "unsent", bytes: unsentBytes });
        }
    }

    private perform(output: EntryOutput): void {
        switch (output.kind) {
            case "answer": {
                const onAnswer = this.answerCallbacks.get(output.request);
                this.answerCallbacks.delete(output.request);
                onAnswer?.(output.answer);
                this.metrics.observeAnswer(
                    output.answer.kind,
                    "reason" in output.answer ? output.answer.reason : "",
                    output.afterMilliseconds,
                );
                return;
            }
            case "frame":
                this.listener.send(output.connection, output.frame);
                return;
            case "request-capacity":
                this.datagrams.send(output.address, output.request);
                return;
            case "ownership":
                this.datagrams.send(output.address, output.message);
                return;
            case "log":
                this.log.write(output.level, output.event, output.fields);
                return;
            default:
                this.forwarding.perform(output);
        }
    }
}

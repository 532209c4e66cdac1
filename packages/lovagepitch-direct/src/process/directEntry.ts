/**
 * An entry's process: it carries out what the core decides.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import { TickLoop } from "@lovagepitch/utils/tickLoop";
import { EntryCore } from "../entry/entryCore.js";
import type { EntryInput, EntryOutput } from "../entry/entryPorts.js";
import type { EntryIdentity } from "../entry/entryState.js";
import { AgentListener } from "../links/agentListener.js";
import type { DirectJob, JobAnswer } from "../model/directJob.js";
import type { DispatchConfiguration, Route } from "../model/dispatchConfiguration.js";
import { DirectMetrics } from "./directMetrics.js";
import { RateLimitedLog } from "./rateLimitedLog.js";

/** What an entry needs. */
export interface DirectEntryOptions {
    readonly identity: EntryIdentity;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** IP number that agents connect to. */
    readonly host: string;
    /** TCP port that agents connect to; 0 for any free one. */
    readonly port: number;
}

/** A submitted job, as long as its caller waits. */
export interface Submission {
    /** Tells that the caller has closed the connection. */
    readonly abandon: () => void;
}

/** The process that callers talk to. */
export class DirectEntry {
    private readonly core: EntryCore;
    private readonly loop: TickLoop<EntryInput, EntryOutput>;
    private readonly listener: AgentListener;
    private readonly log: RateLimitedLog;
    private readonly metrics = new DirectMetrics();
    private readonly answerCallbacks = new Map<number, (answer: JobAnswer) => void>();
    private nextRequest = 1;
    private wasReady = false;

    /**
     * @param options - identity, clock and addresses
     */
    public constructor(private readonly options: DirectEntryOptions) {
        const { identity, clock, random } = options;
        this.log = new RateLimitedLog(identity.instance, clock, this.metrics);
        this.core = new EntryCore(identity, clock, random);
        this.loop = new TickLoop(this.core, clock, outputs => outputs.forEach(output => this.perform(output)));
        this.metrics.addGauge("open_jobs", "Jobs without an answer", () => this.core.openJobs);
        this.metrics.addGauge("configuration_version", "Version in force, 0 without one", () => {
            return this.core.configuration?.version ?? 0;
        });
        this.listener = new AgentListener({
            onFrame: (connection, frame) => this.loop.accept({ kind: "frame", connection, frame }),
            onDisconnected: connection => this.loop.accept({ kind: "disconnected", connection }),
        });
    }

    /** The configuration in force. */
    public get configuration(): DispatchConfiguration | undefined {
        return this.core.configuration;
    }

    /** Number of callers that wait for an answer. */
    public get openRequests(): number {
        return this.answerCallbacks.size;
    }

    /** True when callers can be served. */
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
     * Starts to listen for agents.
     *
     * @returns the port; rejects when it cannot be bound
     */
    public async start(): Promise<number> {
        const port = await this.listener.listen(this.options.host, this.options.port);
        this.log.write("info", "entry starts", { incarnation: this.options.identity.incarnation, port });
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
     * @param job - the job
     * @param onAnswer - is called once, unless the caller leaves before
     * @returns the submission
     */
    public submit(job: DirectJob, onAnswer: (answer: JobAnswer) => void): Submission {
        const request = this.nextRequest;
        this.nextRequest += 1;
        this.answerCallbacks.set(request, onAnswer);
        this.loop.accept({ kind: "submitted", request, job });
        return {
            abandon: () => {
                if (this.answerCallbacks.delete(request)) {
                    this.loop.accept({ kind: "caller-gone", request, job: job.id });
                }
            },
        };
    }

    /**
     * Cancels a job.
     *
     * @param id - the job
     * @returns false when no such job is open here
     */
    public cancel(id: string): boolean {
        const isKnown = this.core.describeJob(id) !== undefined;
        if (isKnown) {
            this.loop.accept({ kind: "cancelled", job: id });
        }
        return isKnown;
    }

    /**
     * Describes a job without an answer.
     *
     * @param id - the job
     * @returns its progress, or undefined when no such job is open here
     */
    public describeJob(id: string): "waiting" | "started" | undefined {
        return this.core.describeJob(id);
    }

    /**
     * Counts the jobs of a route that have not begun.
     *
     * @param route - name of the route
     * @returns the number
     */
    public countWaiting(route: string): number {
        return this.core.countWaiting(route);
    }

    /**
     * Takes a version of the configuration from the store.
     *
     * @param configuration - the version
     */
    public configure(configuration: DispatchConfiguration): void {
        this.loop.accept({ kind: "configured", configuration, source: "store" });
    }

    /**
     * Adds addresses of entries, which agents are told of.
     *
     * @param addresses - host and port of each
     */
    public addEntries(addresses: readonly string[]): void {
        this.loop.accept({ kind: "entries-found", addresses });
    }

    /** Reports itself not ready from now on. Requests that still arrive are served. */
    public leaveRotation(): void {
        this.log.write("info", "entry leaves rotation", { openRequests: this.answerCallbacks.size });
        this.wasReady = false;
    }

    /** Refuses new jobs; those that are open go on. */
    public refuseNewJobs(): void {
        this.loop.accept({ kind: "shut-down" });
    }

    /** Ends and answers every open job; their callers may submit them again. */
    public interruptJobs(): void {
        this.loop.accept({ kind: "interrupt" });
    }

    /** Closes the connections to agents, which stop what still runs for this entry. */
    public stop(): void {
        this.log.write("info", "entry stops", { openRequests: this.answerCallbacks.size });
        this.loop.stop();
        this.listener.close();
    }

    /**
     * Serves the process's metrics.
     *
     * @param address - host and port
     * @returns the port; rejects when it cannot be bound
     */
    public serveMetrics(address: string): Promise<number> {
        return this.metrics.serve(address);
    }

    /**
     * Writes a log line.
     *
     * @param level - severity
     * @param event - what happened
     * @param fields - facts
     */
    public writeLog(level: "info" | "warn", event: string, fields: Readonly<Record<string, unknown>>): void {
        this.log.write(level, event, fields);
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
            case "log":
                this.log.write(output.level, output.event, output.fields);
        }
    }
}

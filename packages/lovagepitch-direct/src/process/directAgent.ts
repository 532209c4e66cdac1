/**
 * Process of an agent: executes the outputs of the agent's core.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import { TickLoop } from "@lovagepitch/utils/tickLoop";
import { AgentCore } from "../agent/agentCore.js";
import type { AgentInput, AgentOutput } from "../agent/agentPorts.js";
import type { AgentIdentity } from "../agent/agentState.js";
import type { BoundedHttpServer } from "../connections/boundedHttpServer.js";
import { defaultResources, type ListenerKind, type ProcessResources } from "../connections/connectionLimits.js";
import { EntryConnections } from "../links/entryConnections.js";
import type { EntryLocation } from "../model/entryLocation.js";
import { limitLabels } from "../model/workerLabels.js";
import type { WorkerRegistration, WorkerReport } from "../model/workerStatus.js";
import { DirectMetrics, evacuatedZonesHelp } from "./directMetrics.js";
import { type ListenerOptions, ProcessListeners } from "./processListeners.js";
import { RateLimitedLog } from "./rateLimitedLog.js";
import { UnreadableFrames } from "./unreadableFrames.js";
import type { WorkerOrders } from "./workerOrders.js";
import { addWorkTotals } from "./workTotals.js";

/** Options of an agent. */
export interface DirectAgentOptions {
    readonly identity: AgentIdentity;
    readonly clock: Clock;
    readonly worker: WorkerOrders;
    /** Called when the worker that a restarted process may use has changed; with undefined once it drains. */
    readonly onWorkerChanged: (registration: WorkerRegistration | undefined) => void;
    /** Called once after a shutdown was requested and all runs have ended. */
    readonly onStopped: () => void;
    /** Time between two reports of the worker; undefined when it is not known. */
    readonly reportIntervalMilliseconds?: number | undefined;
    /** Memory and descriptors of the process; those of a small instance when they are not known. */
    readonly resources?: ProcessResources | undefined;
}

/** Agent of one worker. */
export class DirectAgent {
    private readonly loop: TickLoop<AgentInput, AgentOutput>;
    private readonly connections: EntryConnections;
    private readonly log: RateLimitedLog;
    private readonly listeners: ProcessListeners;
    private readonly metrics = new DirectMetrics();
    private readonly unreadableFrames: UnreadableFrames;

    /**
     * @param options - identity, clock, connection to the worker and shutdown callback
     */
    public constructor(private readonly options: DirectAgentOptions) {
        const { identity, clock } = options;
        this.log = new RateLimitedLog(identity.instance, clock, this.metrics);
        this.listeners = new ProcessListeners(clock, this.log, this.metrics, options.resources ?? defaultResources);
        this.unreadableFrames = new UnreadableFrames(this.log, this.metrics);
        const core = new AgentCore(identity, clock, options.reportIntervalMilliseconds);
        this.loop = new TickLoop(core, clock, outputs => outputs.forEach(o => this.perform(o)));
        this.metrics.addGauge("worker_speed", "Estimated by actual run time, 0 while unknown", () => core.workerSpeed);
        this.metrics.addGauge("evacuated_zones", evacuatedZonesHelp, () => core.evacuatedZones);
        this.metrics.addGauge(
            "event_loop_delay_seconds",
            "Largest delay of a timer since the metrics were read",
            () => {
                return this.loop.takeLargestDelayMilliseconds() / 1000;
            },
        );
        this.connections = new EntryConnections({
            onConnected: address => this.loop.accept({ kind: "connected", address }),
            onFrame: (address, frame) => {
                this.loop.accept({ kind: "frame", address, frame, receivedAt: clock.nowMilliseconds() });
            },
            onDisconnected: (address, end) => {
                this.unreadableFrames.record(end);
                this.loop.accept({ kind: "disconnected", address, wasRefused: end.wasRefused });
            },
        });
        addWorkTotals(this.metrics, { frames: this.connections.totals, countTicks: () => this.loop.ticks });
    }

    /** Starts the tick loop. */
    public start(): void {
        this.log.write("info", "agent starts", { incarnation: this.options.identity.incarnation });
        this.loop.schedule();
    }

    /**
     * Processes a report of the worker.
     *
     * @param report - received report
     */
    public receiveReport(report: WorkerReport): void {
        const labels = limitLabels(report.labels);
        if (labels.length < report.labels.length) {
            const counts = { reported: report.labels.length, used: labels.length };
            this.log.write("warn", "labels of the worker left out", { worker: report.id, ...counts });
        }
        this.loop.accept({ kind: "worker-reported", report: { ...report, labels } });
    }

    /**
     * Uses the worker that an earlier process of this agent has recorded, unless the worker has reported meanwhile.
     *
     * @param registration - recorded worker
     */
    public restoreWorker(registration: WorkerRegistration): void {
        this.loop.accept({ kind: "worker-restored", registration });
    }

    /**
     * Handles the worker's announcement that it ends.
     *
     * @param worker - id of the worker that ends
     * @param startedAt - start of the incarnation that ends, in Unix milliseconds; undefined when it is not known
     */
    public receiveWorkerLeft(worker: string, startedAt: number | undefined): void {
        this.loop.accept({ kind: "worker-left", worker, startedAt });
    }

    /**
     * Adds entries, some of which the agent connects to.
     *
     * @param entries - locations of the entries
     */
    public addEntries(entries: readonly EntryLocation[]): void {
        this.loop.accept({ kind: "entries-found", entries });
    }

    /** Stops accepting tasks, and stops the agent once all runs have ended. */
    public shutDown(): void {
        this.log.write("info", "agent shuts down", {});
        this.loop.accept({ kind: "shut-down" });
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

    private perform(output: AgentOutput): void {
        switch (output.kind) {
            case "frame":
                this.connections.send(output.address, output.frame);
                return;
            case "connect":
                this.connections.open(output.address);
                return;
            case "disconnect":
                this.connections.closeOne(output.address);
                return;
            case "worker-changed":
                this.options.onWorkerChanged(output.registration);
                return;
            case "log":
                this.log.write(output.level, output.event, output.fields);
                return;
            case "stopped":
                this.loop.stop();
                this.options.onStopped();
                return;
            default:
                void this.sendToWorker(output);
        }
    }

    private async sendToWorker(output: AgentOutput & { readonly kind: "start" | "stop" | "view" }): Promise<void> {
        const { worker } = this.options;
        switch (output.kind) {
            case "start": {
                const outcome = await worker.start(output);
                const receivedAt = this.options.clock.nowMilliseconds();
                this.loop.accept({ kind: "start-answered", life: output.life, run: output.run, outcome, receivedAt });
                return;
            }
            case "stop": {
                const outcome = await worker.stop(output);
                this.loop.accept({ kind: "stop-answered", life: output.life, run: output.run, outcome });
                return;
            }
            case "view": {
                const outcome = await worker.view(output);
                this.loop.accept(
                    outcome.kind === "view"
                        ? { kind: "view", call: output.call, view: outcome.view }
                        : { kind: "view-failed", call: output.call, failure: outcome },
                );
            }
        }
    }
}

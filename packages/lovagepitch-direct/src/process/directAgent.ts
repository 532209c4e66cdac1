/**
 * An agent's process: it carries out what the core decides.
 */
import type { Clock } from "@lovagepitch/utils/clock";
import { TickLoop } from "@lovagepitch/utils/tickLoop";
import { AgentCore } from "../agent/agentCore.js";
import type { AgentInput, AgentOutput } from "../agent/agentPorts.js";
import type { AgentIdentity } from "../agent/agentState.js";
import { EntryConnections } from "../links/entryConnections.js";
import type { WorkerReport } from "../model/workerStatus.js";
import { DirectMetrics } from "./directMetrics.js";
import { RateLimitedLog } from "./rateLimitedLog.js";
import type { WorkerOrders } from "./workerOrders.js";

/** What an agent needs. */
export interface DirectAgentOptions {
    readonly identity: AgentIdentity;
    readonly clock: Clock;
    readonly worker: WorkerOrders;
    /** Called once after a shutdown was asked for and nothing runs any more. */
    readonly onStopped: () => void;
}

/** The process beside one worker. */
export class DirectAgent {
    private readonly loop: TickLoop<AgentInput, AgentOutput>;
    private readonly connections: EntryConnections;
    private readonly log: RateLimitedLog;
    private readonly metrics = new DirectMetrics();

    /**
     * @param options - identity, clock and the worker
     */
    public constructor(private readonly options: DirectAgentOptions) {
        const { identity, clock } = options;
        this.log = new RateLimitedLog(identity.instance, clock, this.metrics);
        this.loop = new TickLoop(
            new AgentCore(identity, clock),
            clock,
            outputs => outputs.forEach(o => this.perform(o)),
        );
        this.connections = new EntryConnections({
            onConnected: address => this.loop.accept({ kind: "connected", address }),
            onFrame: (address, frame) => this.loop.accept({ kind: "frame", address, frame }),
            onDisconnected: (address, refused) => this.loop.accept({ kind: "disconnected", address, refused }),
        });
    }

    /** Starts the loop. */
    public start(): void {
        this.log.write("info", "agent starts", { incarnation: this.options.identity.incarnation });
        this.loop.schedule();
    }

    /**
     * Takes a report of the worker.
     *
     * @param report - the report
     */
    public receiveReport(report: WorkerReport): void {
        this.loop.accept({ kind: "worker-reported", report });
    }

    /**
     * Notes that the worker is about to end.
     *
     * @param worker - the life that ends
     */
    public receiveWorkerLeft(worker: string): void {
        this.loop.accept({ kind: "worker-left", worker });
    }

    /**
     * Adds addresses of entries.
     *
     * @param addresses - host and port of each
     */
    public addEntries(addresses: readonly string[]): void {
        this.loop.accept({ kind: "entries-found", addresses });
    }

    /** Takes no more tasks, and stops once those at work have ended. */
    public shutDown(): void {
        this.log.write("info", "agent shuts down", {});
        this.loop.accept({ kind: "shut-down" });
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

    private perform(output: AgentOutput): void {
        switch (output.kind) {
            case "frame":
                this.connections.send(output.address, output.frame);
                return;
            case "connect":
                this.connections.open(output.address);
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
                const { order } = output;
                const outcome = await worker.start(output.worker, order, output.epoch, output.latestStart);
                const run = { job: order.job, task: order.task, run: order.run };
                this.loop.accept({ kind: "start-answered", worker: output.worker, run, outcome });
                return;
            }
            case "stop": {
                const outcome = await worker.stop(output.worker, output.run, output.epoch);
                this.loop.accept({ kind: "stop-answered", worker: output.worker, run: output.run, outcome });
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

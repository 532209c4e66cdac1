/**
 * The agent process: connects the core with the peer links, the local port, the backend server and the platform.
 */
import { PeerLinks } from "@lovagepitch/links/peerLinks";
import type { OutgoingMessage } from "@lovagepitch/types/peerMessage";
import type { BackendServerAnnouncement } from "@lovagepitch/types/registry";
import type { AgentSettings } from "@lovagepitch/types/settings";
import { type Clock, SystemClock } from "@lovagepitch/utils/clock";
import { createIncarnation } from "@lovagepitch/utils/incarnation";
import { type EventLog, JsonEventLog } from "@lovagepitch/utils/logger";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import { SubmissionCodec } from "@lovagepitch/utils/submissionCodec";
import { TickLoop } from "@lovagepitch/utils/tickLoop";
import { randomInt } from "node:crypto";
import { AgentCore } from "../core/agentCore.js";
import type { AgentInput } from "../core/agentInput.js";
import type { AgentOutput, TaskDispatch } from "../core/agentOutput.js";
import { BackendServerClient } from "../http/backendServerClient.js";
import { LocalServer, LocalService } from "../http/localServer.js";
import { AgentCounters } from "./agentCounters.js";
import { AgentMetrics } from "./agentMetrics.js";
import { AgentPlatform } from "./agentPlatform.js";

const maximumSeed = 0x7fff_ffff;

/** Ports that the agent listens on. */
export interface AgentPorts {
    readonly peerPort: number;
    readonly localPort: number;
}

/** Objects that are created once the peer links are listening. */
interface RunningAgent {
    readonly core: AgentCore;
    readonly loop: TickLoop<AgentInput, AgentOutput>;
}

/** Runs one agent. */
export class AgentProcess extends LocalService {
    private readonly clock: Clock = new SystemClock();
    private readonly incarnation = createIncarnation();
    private readonly log: EventLog;
    private readonly counters = new AgentCounters();
    private readonly metrics: AgentMetrics;
    private readonly platform: AgentPlatform;
    private readonly links: PeerLinks;
    private readonly localServer = new LocalServer(this);
    private readonly backendServer = new BackendServerClient();
    private running: RunningAgent | undefined;
    private stopPromise: Promise<void> | undefined;
    private resolveDrained: () => void = () => undefined;
    private resolveRegistrationLost: () => void = () => undefined;

    /** Resolves when the agent's registration row no longer exists and the process must be replaced. */
    public readonly whenRegistrationLost = new Promise<void>(resolve => {
        this.resolveRegistrationLost = resolve;
    });

    /**
     * @param settings - validated settings of the agent
     */
    public constructor(private readonly settings: AgentSettings) {
        super();
        this.log = new JsonEventLog("lovagepitch-agent", settings.logLevel);
        this.links = this.createLinks();
        this.platform = new AgentPlatform({
            settings,
            clock: this.clock,
            random: new RandomSource(randomInt(maximumSeed)),
            log: this.log,
            acceptInput: input => this.accept(input),
            getConfigurationVersion: () => this.getConfigurationVersion(),
            handleRegistrationLost: () => this.handleRegistrationLost(),
        });
        this.metrics = new AgentMetrics({
            counters: this.counters,
            getStatus: () => this.requireRunning().core.getStatus(),
            getLinkCounters: () => this.links.counters,
            isStoreHealthy: () => this.platform.isStoreHealthy,
        });
    }

    /**
     * Binds the ports and starts the agent.
     *
     * @returns the bound ports
     * @throws LinkError or LocalServerError when a port cannot be bound
     */
    public async start(): Promise<AgentPorts> {
        const peerPort = unwrapOrThrow(await this.links.listen());
        this.running = this.createRunningAgent();
        const localPort = unwrapOrThrow(await this.localServer.listen(this.settings.localPort));
        this.platform.readManifest();
        this.running.loop.schedule();
        const { worker, availabilityZone } = this.settings;
        this.log.logEvent("info", "agent started", { ...this.links.identity, localPort, worker, availabilityZone });
        return { peerPort, localPort };
    }

    /**
     * Shuts down gracefully: refuses starts, waits for running tasks, delivers their outcomes and writes the ledger
     * handover to the object store.
     *
     * @returns a promise that resolves when the process may exit
     */
    public stop(): Promise<void> {
        this.stopPromise ??= this.shutDown();
        return this.stopPromise;
    }

    /** {@inheritDoc LocalService.handleAnnouncement} */
    public override handleAnnouncement(announcement: BackendServerAnnouncement): void {
        this.backendServer.configure(announcement);
        this.accept({ type: "backendAnnounced", announcement });
    }

    /** {@inheritDoc LocalService.handleLeaving} */
    public override handleLeaving(): void {
        this.accept({ type: "backendLeaving" });
    }

    /** {@inheritDoc LocalService.findMissingConditions} */
    public override findMissingConditions(): readonly string[] {
        const status = this.requireRunning().core.getStatus();
        const conditions: readonly (readonly [string, boolean])[] = [
            ["configuration", status.configurationVersion === 0],
            ["backend server", status.backendServer !== "present"],
            ["registration", status.registrationNumber === 0],
            ["entries", !status.isKnownToEntries],
            ["stopping", this.stopPromise !== undefined],
        ];
        return conditions.filter(([, isMissing]) => isMissing).map(([condition]) => condition);
    }

    /** {@inheritDoc LocalService.createStatusDocument} */
    public override createStatusDocument(): Readonly<Record<string, unknown>> {
        const { worker, availabilityZone } = this.settings;
        return {
            incarnation: this.incarnation,
            worker,
            availabilityZone,
            ready: this.findMissingConditions().length === 0,
            storeHealthy: this.platform.isStoreHealthy,
            ...this.requireRunning().core.getStatus(),
        };
    }

    /** {@inheritDoc LocalService.readMetrics} */
    public override readMetrics(): Promise<{ readonly text: string; readonly contentType: string }> {
        return this.metrics.read();
    }

    private createLinks(): PeerLinks {
        const { address, port } = this.settings;
        return new PeerLinks({
            identity: { address: `${address}:${port}`, incarnation: this.incarnation },
            role: "agent",
            address,
            port,
            clock: this.clock,
            onBatch: batch => this.accept({ type: "peerBatch", batch }),
            onPeerUnreachable: peer => this.accept({ type: "peerUnreachable", address: peer }),
            getConfigurationVersion: () => this.getConfigurationVersion(),
            createStatusDocument: () => this.createStatusDocument(),
        });
    }

    private createRunningAgent(): RunningAgent {
        const core = new AgentCore({
            identity: this.links.identity,
            settings: this.settings,
            codec: new SubmissionCodec(this.settings.submissionKey),
            clock: this.clock,
        });
        const loop = new TickLoop(
            core,
            this.clock,
            outputs => this.performOutputs(outputs),
            milliseconds => this.counters.countTick(milliseconds),
        );
        return { core, loop };
    }

    private accept(input: AgentInput): void {
        this.counters.countInput(input);
        this.running?.loop.accept(input);
    }

    private performOutputs(outputs: readonly AgentOutput[]): void {
        const messages: OutgoingMessage[] = [];
        for (const output of outputs) {
            this.counters.countOutput(output);
            if (output.type === "send") {
                messages.push({ destination: output.destination, message: output.message });
            }
            else {
                this.performLocalOutput(output);
            }
        }
        this.links.send(messages);
        if (this.running?.core.isDrained() === true) {
            this.resolveDrained();
        }
    }

    private performLocalOutput(output: Exclude<AgentOutput, { readonly type: "send" }>): void {
        switch (output.type) {
            case "dispatch":
                void this.runTask(output.task);
                return;
            case "register":
                void this.platform.register(this.links.identity);
                return;
            case "deregister":
                void this.platform.deregister();
                return;
            case "readManifest":
                this.platform.readManifest();
                return;
            case "decision":
                this.log.logDecision(output.decision);
                return;
        }
    }

    private async runTask(task: TaskDispatch): Promise<void> {
        const outcome = await this.backendServer.run(task);
        const { submission, index } = task;
        this.accept({ type: "taskEnded", submission, index, outcome });
    }

    private async shutDown(): Promise<void> {
        const { core, loop } = this.requireRunning();
        this.log.logEvent("info", "agent is shutting down; waiting for running tasks", {
            runningTasks: core.getStatus().runningTasks,
        });
        const drained = new Promise<void>(resolve => {
            this.resolveDrained = resolve;
        });
        this.accept({ type: "stop" });
        await drained;
        const handover = core.createLedgerHandover();
        const isHandedOver = await this.platform.handOverLedger(handover);
        await this.localServer.close();
        await this.links.close();
        loop.stop();
        await this.backendServer.close();
        await this.platform.close();
        this.log.logEvent("info", "agent stopped", { submissions: handover.submissions.length, isHandedOver });
    }

    private handleRegistrationLost(): void {
        this.log.logEvent(
            "error",
            "the agent's registration row no longer exists; the agent shuts down, restart it",
            {},
        );
        this.resolveRegistrationLost();
    }

    private getConfigurationVersion(): number {
        return this.running?.core.getStatus().configurationVersion ?? 0;
    }

    private requireRunning(): RunningAgent {
        if (this.running === undefined) {
            throw new Error("The agent is not running; call start() first");
        }
        return this.running;
    }
}

function unwrapOrThrow<Value>(
    result: { readonly ok: true; readonly val: Value } | { readonly ok: false; readonly val: Error },
): Value {
    if (!result.ok) {
        throw result.val;
    }
    return result.val;
}

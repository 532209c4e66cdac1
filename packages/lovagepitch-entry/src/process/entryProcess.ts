/**
 * An entry instance: its core, its peer links, its HTTP server and its requests to the platform.
 */
import { defaultJobLimits } from "@lovagepitch/configuration/jobLimits";
import { validateJob } from "@lovagepitch/configuration/validateJob";
import { PeerLinks } from "@lovagepitch/links/peerLinks";
import type { OutgoingMessage } from "@lovagepitch/types/peerMessage";
import type { EntrySettings } from "@lovagepitch/types/settings";
import type { Clock } from "@lovagepitch/utils/clock";
import { SystemClock } from "@lovagepitch/utils/clock";
import { createIncarnation } from "@lovagepitch/utils/incarnation";
import { type EventLog, JsonEventLog } from "@lovagepitch/utils/logger";
import { Poller } from "@lovagepitch/utils/poller";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import { SubmissionCodec } from "@lovagepitch/utils/submissionCodec";
import { TickLoop } from "@lovagepitch/utils/tickLoop";
import { randomInt } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { EntryCore } from "../core/entryCore.js";
import type { EntryInput } from "../core/entryInput.js";
import type { EntryOutput } from "../core/entryOutput.js";
import { CallerRoutes } from "../http/callerRoutes.js";
import { CallerServer } from "../http/callerServer.js";
import { EntryMetrics } from "../http/entryMetrics.js";
import { type MissingCondition, OperatorRoutes } from "../http/operatorRoutes.js";
import { PendingRequests } from "../http/pendingRequests.js";
import { EntryRegistrar } from "./entryRegistrar.js";
import {
    connectPlatform,
    createPlatformClients,
    type PlatformClients,
    type PlatformServices,
} from "./platformClients.js";
import { PlatformRequests } from "./platformRequests.js";
import { StoreHealth } from "./storeHealth.js";

const registryPollIntervalMilliseconds = 2_000;
/** Longest time for which a new entry waits for the announcements of the agents in the registry. */
const announcementTimeoutMilliseconds = 2_000;
const maximumWaitingRequests = 20_000;
/** Longest time that a graceful shutdown waits for open jobs. */
const drainTimeoutMilliseconds = 120_000;
const drainCheckIntervalMilliseconds = 10;
/** Time for callers to read their last responses before their connections are closed. */
const closeTimeoutMilliseconds = 5_000;
const maximumSeed = 0x7fff_ffff;

/** Components that are created once the peer port is bound. */
interface RunningComponents {
    readonly core: EntryCore;
    readonly loop: TickLoop<EntryInput, EntryOutput>;
    readonly server: CallerServer;
    readonly metrics: EntryMetrics;
    readonly platformRequests: PlatformRequests;
    readonly registrar: EntryRegistrar;
    readonly registryPoller: Poller;
    readonly manifestPoller: Poller;
}

/** Replaceable dependencies of an entry process. */
export interface EntryProcessOptions {
    /** Log of decisions and events; JSON lines on standard output when absent. */
    readonly eventLog?: EventLog;
    /** Services of the platform; reached over HTTP when absent. */
    readonly platform?: PlatformServices;
}

/** Ports that an entry has bound. */
export interface EntryPorts {
    readonly peerPort: number;
    readonly callerPort: number;
}

/** Runs one entry instance. */
export class EntryProcess {
    private readonly incarnation = createIncarnation();
    private readonly clock: Clock = new SystemClock();
    private readonly random = new RandomSource(randomInt(maximumSeed));
    private readonly codec: SubmissionCodec;
    private readonly eventLog: EventLog;
    private readonly platform: PlatformServices;
    private readonly storeHealth: StoreHealth;
    private readonly clients: PlatformClients;
    private readonly links: PeerLinks;
    private readonly pendingRequests: PendingRequests;
    private running: RunningComponents | undefined;
    /** Configuration version as of the last tick; cached because the core's status iterates over its tables. */
    private configurationVersion = 0;
    private isRegistered = false;
    /** When the registry was first read after the own row was durable, in milliseconds since the epoch. */
    private registryReadAtMilliseconds: number | undefined;
    private isStopping = false;

    /**
     * @param settings - validated settings of the entry
     * @param options - replacements of the log and of the platform
     */
    public constructor(private readonly settings: EntrySettings, options: EntryProcessOptions = {}) {
        this.eventLog = options.eventLog ?? new JsonEventLog("lovagepitch-entry", settings.logLevel);
        this.platform = options.platform ?? connectPlatform(settings, this.clock, this.random);
        this.codec = new SubmissionCodec(settings.submissionKey);
        this.storeHealth = new StoreHealth(this.eventLog);
        this.clients = createPlatformClients(this.platform, settings, this.clock, this.random, this.codec);
        this.pendingRequests = new PendingRequests(input => this.accept(input), maximumWaitingRequests);
        this.links = new PeerLinks({
            identity: { address: `${settings.address}:${settings.port}`, incarnation: this.incarnation },
            role: "entry",
            address: settings.address,
            port: settings.port,
            clock: this.clock,
            onBatch: batch => this.accept({ type: "peerBatch", batch }),
            onPeerUnreachable: address => this.accept({ type: "peerUnreachable", address }),
            getConfigurationVersion: () => this.configurationVersion,
        });
    }

    /**
     * Binds the ports and starts serving.
     *
     * @returns the bound ports
     * @throws LinkError or HttpServerError when a port cannot be bound
     */
    public async start(): Promise<EntryPorts> {
        const peerPort = unwrapOrThrow(await this.links.listen());
        const running = this.createComponents();
        this.running = running;
        const bound = await running.server.listen(this.settings.address, this.settings.callerPort);
        if (bound.err) {
            await this.links.close();
            await this.platform.close();
        }
        const callerPort = unwrapOrThrow(bound);
        running.manifestPoller.run();
        running.registryPoller.run();
        running.registrar.start();
        running.loop.schedule();
        this.eventLog.logEvent("info", "the entry is serving", { ...this.links.identity, callerPort });
        return { peerPort, callerPort };
    }

    /**
     * Shuts down gracefully: admits no new jobs, finishes the admitted ones, and hands the finished answers over in the
     * object store.
     *
     * @returns a promise that resolves when the process may exit
     */
    public async stop(): Promise<void> {
        const running = this.running;
        if (running === undefined || this.isStopping) {
            return;
        }
        this.isStopping = true;
        running.server.startStopping();
        this.accept({ type: "stop" });
        await this.drain(running.core);
        const handover = running.core.createAnswersHandover();
        const written = await this.clients.handovers.writeAnswers(handover);
        if (this.storeHealth.record("writeAnswers", written).err) {
            this.eventLog.logEvent(
                "error",
                "finished answers could not be handed over; resubmissions are answered from the agents",
                {
                    answers: handover.answers.length,
                },
            );
        }
        await running.registrar.leave();
        running.manifestPoller.stop();
        running.registryPoller.stop();
        await Promise.race([running.server.close(), sleep(closeTimeoutMilliseconds, undefined, { ref: false })]);
        running.server.closeConnections();
        await this.links.close();
        running.loop.stop();
        await this.platform.close();
        this.eventLog.logEvent("info", "the entry has stopped", { answers: handover.answers.length });
    }

    private createComponents(): RunningComponents {
        const { settings, clock, random, eventLog, storeHealth } = this;
        const core = new EntryCore({ identity: this.links.identity, settings, codec: this.codec, clock, random });
        const metrics = new EntryMetrics({
            getStatus: () => core.getStatus(),
            getLinkCounters: () => this.links.counters,
            isStoreHealthy: () => storeHealth.isHealthy,
            countWaitingRequests: () => this.pendingRequests.size,
        });
        const platformRequests = new PlatformRequests({
            clients: this.clients,
            storeHealth,
            eventLog,
            accept: input => this.accept(input),
            getConfigurationVersion: () => this.configurationVersion,
        });
        return {
            core,
            metrics,
            platformRequests,
            loop: new TickLoop(
                core,
                clock,
                outputs => this.performOutputs(outputs),
                duration => metrics.observeTick(duration),
            ),
            server: this.createServer(core, metrics),
            registrar: new EntryRegistrar({
                identity: this.links.identity,
                settings,
                registry: this.clients.registry,
                storeHealth,
                eventLog,
                clock,
                random,
                onRegistered: () => this.handleRegistered(),
            }),
            registryPoller: new Poller(
                registryPollIntervalMilliseconds,
                random,
                () => this.readRegistry(platformRequests),
            ),
            manifestPoller: new Poller(
                settings.manifestPollMilliseconds,
                random,
                () => platformRequests.readManifest(),
            ),
        };
    }

    private createServer(core: EntryCore, metrics: EntryMetrics): CallerServer {
        return new CallerServer({
            eventLog: this.eventLog,
            callerRoutes: new CallerRoutes({
                pendingRequests: this.pendingRequests,
                validateJob: body => validateJob(body, defaultJobLimits),
                maximumBodyBytes: this.settings.maximumBodyBytes,
                countRefusal: kind => metrics.countRequestRefusal(kind),
            }),
            operatorRoutes: new OperatorRoutes({
                incarnation: this.incarnation,
                getStatus: () => core.getStatus(),
                listMissingConditions: () => this.listMissingConditions(),
                isStoreHealthy: () => this.storeHealth.isHealthy,
                metrics,
            }),
        });
    }

    private accept(input: EntryInput): void {
        this.running?.loop.accept(input);
    }

    private performOutputs(outputs: readonly EntryOutput[]): void {
        const messages: OutgoingMessage[] = [];
        for (const output of outputs) {
            if (output.type === "send") {
                messages.push({ destination: output.destination, message: output.message });
            }
            else {
                this.performOutput(output);
            }
        }
        this.links.send(messages);
    }

    private performOutput(output: Exclude<EntryOutput, { readonly type: "send" }>): void {
        switch (output.type) {
            case "respond":
                this.pendingRequests.resolve(output.request, output.response);
                return;
            case "claimKey":
                void this.running?.platformRequests.claimKey(output);
                return;
            case "readRegistry":
                this.running?.registryPoller.run();
                return;
            case "readHandover":
                void this.running?.platformRequests.readHandover(output.kind, output.incarnation);
                return;
            case "readManifest":
                this.running?.manifestPoller.run();
                return;
            case "decision":
                this.configurationVersion = output.decision.configurationVersion;
                this.eventLog.logDecision(output.decision);
                return;
        }
    }

    private listMissingConditions(): readonly MissingCondition[] {
        const conditions: readonly (readonly [MissingCondition, boolean])[] = [
            ["configuration", this.configurationVersion === 0],
            ["registry", this.registryReadAtMilliseconds === undefined],
            ["agents", this.isAwaitingAnnouncements()],
            ["stopping", this.isStopping],
        ];
        return conditions.filter(([, isMissing]) => isMissing).map(([condition]) => condition);
    }

    /**
     * Reads the registry at once. An agent that registered before this entry is in it; one that registers later finds
     * the entry's row. So each of the two learns of the other.
     */
    private handleRegistered(): void {
        this.isRegistered = true;
        this.running?.registryPoller.run();
    }

    private async readRegistry(platformRequests: PlatformRequests): Promise<void> {
        const { isRegistered } = this;
        const isRead = await platformRequests.readRegistry();
        if (isRegistered && isRead) {
            this.registryReadAtMilliseconds ??= this.clock.nowMilliseconds();
        }
    }

    /** Tells whether registered agents can still be expected to announce themselves; rows of lost agents remain. */
    private isAwaitingAnnouncements(): boolean {
        const waited = this.clock.nowMilliseconds() - (this.registryReadAtMilliseconds ?? 0);
        return waited < announcementTimeoutMilliseconds && (this.running?.core.getStatus().unknownAgents ?? 0) > 0;
    }

    private async drain(core: EntryCore): Promise<void> {
        const startedAt = performance.now();
        const isDrained = (): boolean => core.isDrained() && this.pendingRequests.size === 0;
        // The core handles the stop input in its next tick.
        await sleep(drainCheckIntervalMilliseconds);
        while (!isDrained()) {
            if (performance.now() - startedAt > drainTimeoutMilliseconds) {
                this.eventLog.logEvent("error", "the graceful shutdown timed out while jobs were still open", {
                    requests: this.pendingRequests.size,
                });
                return;
            }
            await sleep(drainCheckIntervalMilliseconds);
        }
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

/**
 * An agent's dealings with the platform: its row, the manifest, the entries, and what it leaves behind.
 */
import { validateManifest } from "@lovagepitch/configuration/validateManifest";
import { SystemDelay } from "@lovagepitch/platform/delay";
import { HandoverRepository } from "@lovagepitch/platform/handoverRepository";
import { HttpObjectStore } from "@lovagepitch/platform/httpObjectStore";
import { HttpTable } from "@lovagepitch/platform/httpTable";
import { ManifestRepository } from "@lovagepitch/platform/manifestRepository";
import { PlatformConnection } from "@lovagepitch/platform/platformConnection";
import type { PlatformError } from "@lovagepitch/platform/platformError";
import { RegistryRepository } from "@lovagepitch/platform/registryRepository";
import { RetryPolicy } from "@lovagepitch/platform/retryPolicy";
import type { Incarnation, PeerIdentity } from "@lovagepitch/types/identity";
import type { LedgerHandover } from "@lovagepitch/types/ledger";
import type { AgentSettings } from "@lovagepitch/types/settings";
import type { Clock } from "@lovagepitch/utils/clock";
import type { EventLog } from "@lovagepitch/utils/logger";
import { Poller } from "@lovagepitch/utils/poller";
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import type { Result } from "@lovagepitch/utils/result";
import type { AgentInput } from "../core/agentInput.js";

/** Pause between attempts to read the entries until one succeeds. */
const entriesRetryIntervalMilliseconds = 2_000;
const maximumHandoverAttempts = 60;
const handoverRetryDelayMilliseconds = 1_000;

/** What the dealings need. */
export interface AgentPlatformDependencies {
    readonly settings: AgentSettings;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: EventLog;
    /** Hands an input to the core. */
    readonly acceptInput: (input: AgentInput) => void;
    /** Version of the manifest in force; 0 before there is one. */
    readonly getConfigurationVersion: () => number;
    /** The row is gone, so that sweeps would not ask this agent. */
    readonly handleRegistrationLost: () => void;
}

/** The platform as one agent uses it. */
export class AgentPlatform {
    private readonly delay = new SystemDelay();
    private readonly connection: PlatformConnection;
    private readonly registry: RegistryRepository;
    private readonly manifests: ManifestRepository;
    private readonly handovers: HandoverRepository;
    private readonly manifestPoller: Poller;
    private readonly renewalPoller: Poller;
    private readonly entriesPoller: Poller;
    /** Incarnation of the registered agent; undefined before its row is durable. */
    private incarnation: Incarnation | undefined;
    private isPlatformHealthy = true;

    /**
     * @param dependencies - settings and the core's inlet
     */
    public constructor(private readonly dependencies: AgentPlatformDependencies) {
        const { settings, clock, random } = dependencies;
        this.connection = new PlatformConnection(settings.platform, clock, random, this.delay);
        const table = new HttpTable(this.connection);
        const retries = new RetryPolicy(random, this.delay);
        this.registry = new RegistryRepository(table, retries, clock);
        this.manifests = new ManifestRepository(table, retries);
        this.handovers = new HandoverRepository(new HttpObjectStore(this.connection), retries);
        this.manifestPoller = new Poller(settings.manifestPollMilliseconds, random, () => this.pollManifestVersion());
        this.renewalPoller = new Poller(settings.registrationRenewMilliseconds, random, () => this.renewRegistration());
        this.entriesPoller = new Poller(entriesRetryIntervalMilliseconds, random, () => this.readEntries());
    }

    /** True when the last request to the platform was answered. */
    public get isStoreHealthy(): boolean {
        return this.isPlatformHealthy;
    }

    /** Reads the manifest now, and again and again. */
    public readManifest(): void {
        this.manifestPoller.run();
    }

    /**
     * Writes the agent's row.
     *
     * @param identity - the agent
     * @returns when the core knows how it ended
     */
    public async register(identity: PeerIdentity): Promise<void> {
        const { worker, rack, availabilityZone, cores, memoryMegabytes } = this.dependencies.settings;
        const registration = {
            ...identity,
            worker,
            rack,
            availabilityZone,
            cores,
            memoryMegabytes,
            state: "serving",
            renewedAtMilliseconds: this.dependencies.clock.nowMilliseconds(),
        } as const;
        const number = this.recordResult("registerAgent", await this.registry.registerAgent(registration));
        if (number.err) {
            this.dependencies.acceptInput({ type: "registrationFailed" });
            return;
        }
        this.incarnation = identity.incarnation;
        this.dependencies.acceptInput({ type: "registered", number: number.val });
        this.renewalPoller.scheduleRun();
        this.entriesPoller.run();
    }

    /**
     * Marks the agent's row as left.
     *
     * @returns when the mark is durable or could not be made
     */
    public async deregister(): Promise<void> {
        this.renewalPoller.stop();
        if (this.incarnation !== undefined) {
            this.recordResult("markAgentLeft", await this.registry.markAgentLeft(this.incarnation));
        }
    }

    /**
     * Leaves the ledger to sweeps, with patience, and marks the row as left only when the ledger is durable.
     *
     * @param handover - the ledger
     * @returns true when both are durable
     */
    public async handOverLedger(handover: LedgerHandover): Promise<boolean> {
        this.renewalPoller.stop();
        for (let attempt = 0; attempt < maximumHandoverAttempts; attempt += 1) {
            if (attempt > 0) {
                await this.delay.wait(handoverRetryDelayMilliseconds);
            }
            const written = this.recordResult("writeLedger", await this.handovers.writeLedger(handover));
            if (written.ok) {
                await this.deregister();
                return true;
            }
        }
        this.dependencies.log.logEvent(
            "error",
            "the ledger could not be handed over; jobs with tasks here may be told that they may have run",
            { submissions: handover.submissions.length },
        );
        return false;
    }

    /**
     * Ends all dealings.
     *
     * @returns when the connections are closed
     */
    public async close(): Promise<void> {
        this.manifestPoller.stop();
        this.renewalPoller.stop();
        this.entriesPoller.stop();
        await this.connection.close();
    }

    private async pollManifestVersion(): Promise<void> {
        const version = this.recordResult("readManifestVersion", await this.manifests.readVersion());
        if (version.err || version.val <= this.dependencies.getConfigurationVersion()) {
            return;
        }
        const manifest = this.recordResult("readManifest", await this.manifests.read());
        if (manifest.err || manifest.val === undefined) {
            return;
        }
        const valid = validateManifest(manifest.val.manifest);
        if (valid.err) {
            this.dependencies.log.logEvent(
                "error",
                "the accepted manifest is invalid and stays unused; apply a valid one",
                {
                    version: manifest.val.version,
                    reason: valid.val.message,
                },
            );
            return;
        }
        this.dependencies.acceptInput({ type: "manifestAccepted", manifest: { ...manifest.val, manifest: valid.val } });
    }

    private async renewRegistration(): Promise<void> {
        if (this.incarnation === undefined) {
            return;
        }
        const renewed = this.recordResult("renewAgent", await this.registry.renewAgent(this.incarnation));
        if (renewed.err && renewed.val.kind === "conflict") {
            this.renewalPoller.stop();
            this.dependencies.handleRegistrationLost();
        }
    }

    private async readEntries(): Promise<void> {
        const registry = this.recordResult("readRegistry", await this.registry.read());
        if (registry.ok) {
            // Entries that start later make themselves known.
            this.entriesPoller.stop();
            this.dependencies.acceptInput({ type: "entriesRead", entries: registry.val.entries });
        }
    }

    private recordResult<Value>(operation: string, result: Result<Value, PlatformError>): Result<Value, PlatformError> {
        const isHealthy = result.ok || result.val.kind !== "unavailable";
        if (isHealthy !== this.isPlatformHealthy) {
            this.isPlatformHealthy = isHealthy;
            const message = isHealthy
                ? "the platform answers again"
                : "the platform does not answer; check that it is up";
            this.dependencies.log.logEvent(isHealthy ? "info" : "warn", message, { operation });
        }
        if (result.err && isHealthy) {
            this.dependencies.log.logEvent("warn", result.val.message, { operation, kind: result.val.kind });
        }
        return result;
    }
}

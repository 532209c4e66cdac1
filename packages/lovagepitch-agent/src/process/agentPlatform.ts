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
const entriesRetryMilliseconds = 2_000;
const handoverAttempts = 60;
const handoverPauseMilliseconds = 1_000;

/** What the dealings need. */
export interface AgentPlatformParts {
    readonly settings: AgentSettings;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: EventLog;
    /** Hands an input to the core. */
    readonly accept: (input: AgentInput) => void;
    /** Version of the manifest in force; 0 before there is one. */
    readonly configurationVersion: () => number;
    /** The row is gone, so that sweeps would not ask this agent. */
    readonly lostRegistration: () => void;
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
    private isHealthy = true;

    /**
     * @param parts - settings and the core's inlet
     */
    public constructor(private readonly parts: AgentPlatformParts) {
        const { settings, clock, random } = parts;
        this.connection = new PlatformConnection(settings.platform, clock, random, this.delay);
        const table = new HttpTable(this.connection);
        const retries = new RetryPolicy(random, this.delay);
        this.registry = new RegistryRepository(table, retries, clock);
        this.manifests = new ManifestRepository(table, retries);
        this.handovers = new HandoverRepository(new HttpObjectStore(this.connection), retries);
        this.manifestPoller = new Poller(settings.manifestPollMilliseconds, random, () => this.pollManifest());
        this.renewalPoller = new Poller(settings.registrationRenewMilliseconds, random, () => this.renew());
        this.entriesPoller = new Poller(entriesRetryMilliseconds, random, () => this.readEntries());
    }

    /** True when the last request to the platform was answered. */
    public get isStoreHealthy(): boolean {
        return this.isHealthy;
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
        const { worker, rack, availabilityZone, cores, memoryMegabytes } = this.parts.settings;
        const registration = {
            ...identity,
            worker,
            rack,
            availabilityZone,
            cores,
            memoryMegabytes,
            state: "serving",
            renewedAtMilliseconds: this.parts.clock.nowMilliseconds(),
        } as const;
        const number = this.note("registerAgent", await this.registry.registerAgent(registration));
        if (number.err) {
            this.parts.accept({ type: "registrationFailed" });
            return;
        }
        this.incarnation = identity.incarnation;
        this.parts.accept({ type: "registered", number: number.val });
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
            this.note("markAgentLeft", await this.registry.markAgentLeft(this.incarnation));
        }
    }

    /**
     * Leaves the ledger to sweeps, with patience, and marks the row as left only when the ledger is durable.
     *
     * @param handover - the ledger
     * @returns true when both are durable
     */
    public async handOver(handover: LedgerHandover): Promise<boolean> {
        this.renewalPoller.stop();
        for (let attempt = 0; attempt < handoverAttempts; attempt += 1) {
            if (attempt > 0) {
                await this.delay.wait(handoverPauseMilliseconds);
            }
            const written = this.note("writeLedger", await this.handovers.writeLedger(handover));
            if (written.ok) {
                await this.deregister();
                return true;
            }
        }
        this.parts.log.logEvent(
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

    private async pollManifest(): Promise<void> {
        const version = this.note("readManifestVersion", await this.manifests.readVersion());
        if (version.err || version.val <= this.parts.configurationVersion()) {
            return;
        }
        const manifest = this.note("readManifest", await this.manifests.read());
        if (manifest.err || manifest.val === undefined) {
            return;
        }
        const valid = validateManifest(manifest.val.manifest);
        if (valid.err) {
            this.parts.log.logEvent("error", "the accepted manifest is invalid and stays unused; apply a valid one", {
                version: manifest.val.version,
                reason: valid.val.message,
            });
            return;
        }
        this.parts.accept({ type: "manifestAccepted", manifest: { ...manifest.val, manifest: valid.val } });
    }

    private async renew(): Promise<void> {
        if (this.incarnation === undefined) {
            return;
        }
        const renewed = this.note("renewAgent", await this.registry.renewAgent(this.incarnation));
        if (renewed.err && renewed.val.kind === "conflict") {
            this.renewalPoller.stop();
            this.parts.lostRegistration();
        }
    }

    private async readEntries(): Promise<void> {
        const registry = this.note("readRegistry", await this.registry.read());
        if (registry.ok) {
            // Entries that start later make themselves known.
            this.entriesPoller.stop();
            this.parts.accept({ type: "entriesRead", entries: registry.val.entries });
        }
    }

    private note<Value>(operation: string, result: Result<Value, PlatformError>): Result<Value, PlatformError> {
        const isHealthy = result.ok || result.val.kind !== "unavailable";
        if (isHealthy !== this.isHealthy) {
            this.isHealthy = isHealthy;
            const message = isHealthy
                ? "the platform answers again"
                : "the platform does not answer; check that it is up";
            this.parts.log.logEvent(isHealthy ? "info" : "warn", message, { operation });
        }
        if (result.err && isHealthy) {
            this.parts.log.logEvent("warn", result.val.message, { operation, kind: result.val.kind });
        }
        return result;
    }
}

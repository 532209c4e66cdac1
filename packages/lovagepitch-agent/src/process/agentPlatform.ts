/**
 * Access of an agent to the platform: registration, manifest, registered entries and ledger handover.
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

/** Interval between attempts to read the registered entries until one succeeds, in milliseconds. */
const entriesRetryIntervalMilliseconds = 2_000;
/** Most attempts to write the ledger handover during a shutdown. */
const maximumHandoverAttempts = 60;
/** Delay between attempts to write the ledger handover, in milliseconds. */
const handoverRetryDelayMilliseconds = 1_000;

/** Dependencies of an agent's access to the platform. */
export interface AgentPlatformDependencies {
    readonly settings: AgentSettings;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: EventLog;
    /** Passes an input to the core. */
    readonly acceptInput: (input: AgentInput) => void;
    /** Returns the version of the manifest in force; 0 without a manifest. */
    readonly getConfigurationVersion: () => number;
    /** Called when the registration row no longer exists; entries would not query this agent for outcomes. */
    readonly handleRegistrationLost: () => void;
}

/** Reads and writes the platform's table and object store for one agent. */
export class AgentPlatform {
    private readonly delay = new SystemDelay();
    private readonly connection: PlatformConnection;
    private readonly registry: RegistryRepository;
    private readonly manifests: ManifestRepository;
    private readonly handovers: HandoverRepository;
    private readonly manifestPoller: Poller;
    private readonly renewalPoller: Poller;
    private readonly entriesPoller: Poller;
    /** Incarnation of the registered agent; undefined until the registration row is durable. */
    private incarnation: Incarnation | undefined;
    private isPlatformHealthy = true;

    /**
     * @param dependencies - settings, clock, random source, log, and callbacks into the agent process
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

    /** True when the platform responded to the last request. */
    public get isStoreHealthy(): boolean {
        return this.isPlatformHealthy;
    }

    /** Reads the manifest immediately and then at the configured interval. */
    public readManifest(): void {
        this.manifestPoller.run();
    }

    /**
     * Writes the agent's registration row and passes the result to the core.
     *
     * @param identity - address and incarnation of the agent
     * @returns a promise that resolves when the core has received the result
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
        const registrationNumber = this.recordResult("registerAgent", await this.registry.registerAgent(registration));
        if (registrationNumber.err) {
            this.dependencies.acceptInput({ type: "registrationFailed" });
            return;
        }
        this.incarnation = identity.incarnation;
        this.dependencies.acceptInput({ type: "registered", number: registrationNumber.val });
        this.renewalPoller.scheduleRun();
        this.entriesPoller.run();
    }

    /**
     * Marks the agent's registration row as left.
     *
     * @returns a promise that resolves when the write is durable or has failed
     */
    public async deregister(): Promise<void> {
        this.renewalPoller.stop();
        if (this.incarnation !== undefined) {
            this.recordResult("markAgentLeft", await this.registry.markAgentLeft(this.incarnation));
        }
    }

    /**
     * Writes the ledger handover, with retries, and marks the registration row as left once the handover is durable.
     *
     * @param handover - started tasks and low-water marks, for entries that collect outcomes later
     * @returns true when the handover is durable
     */
    public async handOverLedger(handover: LedgerHandover): Promise<boolean> {
        this.renewalPoller.stop();
        for (let attempt = 0; attempt < maximumHandoverAttempts; attempt += 1) {
            if (attempt > 0) {
                await this.delay.wait(handoverRetryDelayMilliseconds);
            }
            const writeResult = this.recordResult("writeLedger", await this.handovers.writeLedger(handover));
            if (writeResult.ok) {
                await this.deregister();
                return true;
            }
        }
        this.dependencies.log.logEvent(
            "error",
            "the ledger handover could not be written; tasks of this agent may be reported as may-have-run",
            { submissions: handover.submissions.length },
        );
        return false;
    }

    /**
     * Stops all polling and closes the connections to the platform.
     *
     * @returns a promise that resolves when the connections are closed
     */
    public async close(): Promise<void> {
        this.manifestPoller.stop();
        this.renewalPoller.stop();
        this.entriesPoller.stop();
        await this.connection.close();
    }

    private async pollManifestVersion(): Promise<void> {
        const versionResult = this.recordResult("readManifestVersion", await this.manifests.readVersion());
        if (versionResult.err || versionResult.val <= this.dependencies.getConfigurationVersion()) {
            return;
        }
        const manifestResult = this.recordResult("readManifest", await this.manifests.read());
        if (manifestResult.err || manifestResult.val === undefined) {
            return;
        }
        const validationResult = validateManifest(manifestResult.val.manifest);
        if (validationResult.err) {
            this.dependencies.log.logEvent(
                "error",
                "the accepted manifest is invalid and stays unused; apply a valid one",
                {
                    version: manifestResult.val.version,
                    reason: validationResult.val.message,
                },
            );
            return;
        }
        this.dependencies.acceptInput({
            type: "manifestAccepted",
            manifest: { ...manifestResult.val, manifest: validationResult.val },
        });
    }

    private async renewRegistration(): Promise<void> {
        if (this.incarnation === undefined) {
            return;
        }
        const renewalResult = this.recordResult("renewAgent", await this.registry.renewAgent(this.incarnation));
        if (renewalResult.err && renewalResult.val.kind === "conflict") {
            this.renewalPoller.stop();
            this.dependencies.handleRegistrationLost();
        }
    }

    private async readEntries(): Promise<void> {
        const registry = this.recordResult("readRegistry", await this.registry.read());
        if (registry.ok) {
            // Entries that start later contact the agent themselves.
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

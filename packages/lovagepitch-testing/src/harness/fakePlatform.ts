/**
 * Fake of the platform's table and object store, with fault injection.
 */
import type { Incarnation, SubmissionKey } from "@lovagepitch/types/identity";
import type { AnswersHandover, LedgerHandover } from "@lovagepitch/types/ledger";
import type { Manifest, VersionedManifest } from "@lovagepitch/types/manifest";
import type { AgentRegistration, EntryRegistration, Registry } from "@lovagepitch/types/registry";
import type { Clock } from "@lovagepitch/utils/clock";
import { digestJson } from "@lovagepitch/utils/digest";
import type { AcceptedManifest, DeploymentRecord } from "../checker/deploymentRecord.js";
import type { DeploymentObserver } from "./deploymentObserver.js";
import type { Latencies } from "./deploymentSettings.js";
import type { EventQueue } from "./eventQueue.js";

/** Fault of the platform. */
export type PlatformFault =
    | "none"
    /** No request is answered or takes effect. */
    | "down"
    /** Every request takes `slowMilliseconds`. */
    | "slow"
    /** Writes take effect, but their answers are lost. */
    | "answersLost";

/** Callback for the reply to a request; undefined if none arrived before the timeout. */
export type PlatformReply<Value> = (value: { readonly value: Value } | undefined) => void;

/** Submission and job that an idempotency key is bound to. */
export interface KeyClaim {
    readonly submission: SubmissionKey;
    readonly jobDigest: string;
}

/** Outcome of an attempt to change the manifest. */
export type ApplyOutcome =
    | { readonly kind: "accepted"; readonly manifest: VersionedManifest }
    | { readonly kind: "conflict"; readonly currentManifest: VersionedManifest };

/** Number of manifest reads that are kept so that they can be replayed. */
const maximumKeptManifestReads = 100;

/** Platform with rows and objects in memory. */
export class FakePlatform {
    /** Duration of every request while the platform is slow, in milliseconds. */
    public slowMilliseconds = 3000;
    private currentFault: PlatformFault = "none";
    private lastRegistrationNumber = 0;
    private readonly agents = new Map<Incarnation, AgentRegistration>();
    private readonly entries = new Map<Incarnation, EntryRegistration>();
    private readonly claims = new Map<string, KeyClaim>();
    private readonly objects = new Map<string, AnswersHandover | LedgerHandover>();
    private readonly manifestReads: (readonly [PlatformReply<VersionedManifest | undefined>, VersionedManifest])[] = [];
    private acceptedManifest: VersionedManifest | undefined;

    /**
     * @param queue - event queue of the deployment
     * @param clock - clock of the deployment
     * @param latencies - latencies of the deployment
     * @param observer - notified of requests
     * @param record - deployment events, which accepted manifests and outages are added to
     */
    public constructor(
        private readonly queue: EventQueue,
        private readonly clock: Clock,
        private readonly latencies: Latencies,
        private readonly observer: DeploymentObserver,
        private readonly record: DeploymentRecord,
    ) {}

    /** The current fault. */
    public get fault(): PlatformFault {
        return this.currentFault;
    }

    /**
     * Sets the current fault.
     *
     * @param fault - the fault, or "none" to end it
     */
    public setFault(fault: PlatformFault): void {
        const { platformOutages } = this.record;
        const last = platformOutages.length - 1;
        const outage = platformOutages[last];
        const now = this.clock.nowMilliseconds();
        // A slow platform answers after the clients' timeout, so it also counts as an outage.
        const isOutage = fault === "down" || fault === "slow";
        if (outage !== undefined && outage.untilMilliseconds === undefined && !isOutage) {
            platformOutages[last] = { ...outage, untilMilliseconds: now };
        }
        const isRecorded = outage !== undefined && outage.untilMilliseconds === undefined;
        if (isOutage && !isRecorded) {
            platformOutages.push({ fromMilliseconds: now, untilMilliseconds: undefined });
        }
        this.currentFault = fault;
    }

    /** The newest accepted manifest. */
    public get manifest(): VersionedManifest | undefined {
        return this.acceptedManifest;
    }

    /**
     * Binds an idempotency key unless it is already bound.
     *
     * @param scope - team, service and key in one string
     * @param claim - submission and job to bind the key to
     * @param reply - called with the claim that the key is bound to
     */
    public claimKey(scope: string, claim: KeyClaim, reply: PlatformReply<KeyClaim>): void {
        this.sendRequest("claimKey", true, () => {
            const boundClaim = this.claims.get(scope) ?? claim;
            this.claims.set(scope, boundClaim);
            return boundClaim;
        }, reply);
    }

    /**
     * Reads the claim of an idempotency key.
     *
     * @param scope - team, service and key in one string
     * @param reply - called with the claim, or undefined if the key is not bound
     */
    public readClaim(scope: string, reply: PlatformReply<KeyClaim | undefined>): void {
        this.sendRequest("readClaim", false, () => this.claims.get(scope), reply);
    }

    /**
     * Writes the registration of an agent with the next registration number; an existing row keeps its number.
     *
     * @param registration - the registration without its number
     * @param reply - called with the registration number
     */
    public registerAgent(registration: Omit<AgentRegistration, "number">, reply: PlatformReply<number>): void {
        this.sendRequest("registerAgent", true, () => {
            const existing = this.agents.get(registration.incarnation);
            const number = existing?.number ?? this.lastRegistrationNumber + 1;
            this.lastRegistrationNumber = Math.max(this.lastRegistrationNumber, number);
            this.agents.set(registration.incarnation, { ...registration, number });
            return number;
        }, reply);
    }

    /**
     * Reads the registration of an agent.
     *
     * @param incarnation - incarnation of the agent
     * @param reply - called with the registration, or undefined if there is none
     */
    public readAgent(incarnation: Incarnation, reply: PlatformReply<AgentRegistration | undefined>): void {
        this.sendRequest("readAgent", false, () => this.agents.get(incarnation), reply);
    }

    /**
     * Sets the state of an agent's registration to "left".
     *
     * @param incarnation - incarnation of the agent
     * @param reply - called when the write is acknowledged
     */
    public deregisterAgent(incarnation: Incarnation, reply: PlatformReply<undefined>): void {
        this.sendRequest("deregisterAgent", true, () => {
            const row = this.agents.get(incarnation);
            if (row !== undefined) {
                this.agents.set(incarnation, { ...row, state: "left" });
            }
            return undefined;
        }, reply);
    }

    /**
     * Writes the registration of an entry.
     *
     * @param registration - the registration, which replaces that of the same incarnation
     * @param reply - called when the write is acknowledged
     */
    public registerEntry(registration: EntryRegistration, reply: PlatformReply<undefined>): void {
        this.sendRequest("registerEntry", true, () => {
            this.entries.set(registration.incarnation, registration);
            return undefined;
        }, reply);
    }

    /**
     * Reads the registry.
     *
     * @param reply - called with a consistent snapshot of all registrations
     */
    public readRegistry(reply: PlatformReply<Registry>): void {
        this.sendRequest("readRegistry", false, () => ({
            version: this.lastRegistrationNumber,
            agents: [...this.agents.values()],
            entries: [...this.entries.values()],
        }), reply);
    }

    /**
     * Reads the newest manifest.
     *
     * @param reply - called with the manifest, or undefined if none was accepted yet
     */
    public readManifest(reply: PlatformReply<VersionedManifest | undefined>): void {
        this.sendRequest("readManifest", false, () => {
            this.recordManifestRead(reply, this.acceptedManifest);
            return this.acceptedManifest;
        }, reply);
    }

    /** Answers all earlier manifest reads again with the manifest that they returned then, as delayed duplicates. */
    public replayManifestReads(): void {
        for (const [reply, manifest] of this.manifestReads) {
            this.queue.schedule(this.clock.nowMilliseconds(), reply, { value: manifest });
        }
    }

    /**
     * Accepts a manifest unless the manifest in force has changed since the base version.
     *
     * @param manifest - the new manifest
     * @param baseVersion - version that the change is based on; 0 for the first manifest
     * @param appliedBy - name of the operator
     * @param reply - called with the outcome
     */
    public applyManifest(
        manifest: Manifest,
        baseVersion: number,
        appliedBy: string,
        reply: PlatformReply<ApplyOutcome>,
    ): void {
        this.sendRequest("applyManifest", true, () => this.applyIfCurrent(manifest, baseVersion, appliedBy), reply);
    }

    /**
     * Writes a handover object.
     *
     * @param name - name of the object
     * @param handover - content of the object
     * @param reply - called when the write is acknowledged
     */
    public putHandover(
        name: string,
        handover: AnswersHandover | LedgerHandover,
        reply: PlatformReply<undefined>,
    ): void {
        this.sendRequest("putHandover", true, () => {
            this.objects.set(name, handover);
            return undefined;
        }, reply);
    }

    /**
     * Reads a handover object.
     *
     * @param name - name of the object
     * @param reply - called with the object, or undefined if there is none
     */
    public readHandover(name: string, reply: PlatformReply<AnswersHandover | LedgerHandover | undefined>): void {
        this.sendRequest("readHandover", false, () => this.objects.get(name), reply);
    }

    private applyIfCurrent(manifest: Manifest, baseVersion: number, appliedBy: string): ApplyOutcome {
        const current = this.acceptedManifest;
        if (current !== undefined && current.version !== baseVersion) {
            return { kind: "conflict", currentManifest: current };
        }
        const version = (current?.version ?? 0) + 1;
        const next: VersionedManifest = { version, manifest, digest: digestJson(manifest), appliedBy };
        this.acceptedManifest = next;
        const accepted: AcceptedManifest = { manifest: next, acceptedAtMilliseconds: this.clock.nowMilliseconds() };
        this.record.acceptedManifests.push(accepted);
        return { kind: "accepted", manifest: next };
    }

    private recordManifestRead(
        reply: PlatformReply<VersionedManifest | undefined>,
        manifest: VersionedManifest | undefined,
    ): void {
        if (manifest !== undefined && this.manifestReads.length < maximumKeptManifestReads) {
            this.manifestReads.push([reply, manifest]);
        }
    }

    private sendRequest<Value>(
        operation: string,
        isWrite: boolean,
        effect: () => Value,
        reply: PlatformReply<Value>,
    ): void {
        const sentAt = this.clock.nowMilliseconds();
        const timeoutAt = sentAt + this.latencies.platformTimeout;
        const normalDuration = isWrite ? this.latencies.platformWrite : this.latencies.platformRead;
        const duration = this.currentFault === "slow" ? this.slowMilliseconds : normalDuration;
        let isTimedOut = false;
        this.observer.platformRequestSent?.(operation);
        const timeOut = (): void => {
            isTimedOut = true;
            reply(undefined);
        };
        if (this.currentFault === "down") {
            this.queue.schedule(timeoutAt, timeOut, undefined);
            return;
        }
        if (duration > this.latencies.platformTimeout) {
            this.queue.schedule(timeoutAt, timeOut, undefined);
        }
        this.queue.schedule(sentAt + duration / 2, () => {
            if (this.currentFault === "down") {
                this.queue.schedule(timeoutAt, timeOut, undefined);
                return;
            }
            const value = effect();
            this.queue.schedule(sentAt + duration, () => {
                const isLost = this.currentFault === "down" || (this.currentFault === "answersLost" && isWrite);
                if (isLost && !isTimedOut) {
                    this.queue.schedule(timeoutAt, timeOut, undefined);
                }
                else if (!isTimedOut) {
                    reply({ value });
                }
            }, undefined);
        }, undefined);
    }
}

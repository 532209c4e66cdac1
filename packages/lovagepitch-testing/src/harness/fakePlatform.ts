/**
 * The platform's table and object store as one small fake, with the faults of the real ones.
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

/** What is wrong with the platform. */
export type PlatformFault =
    | "none"
    /** Nothing is answered and nothing takes effect. */
    | "down"
    /** Everything takes as long as `slowMilliseconds` says. */
    | "slow"
    /** Writes take effect and their answers are lost. */
    | "answersLost";

/** A reply, or undefined when none came in time. */
export type PlatformReply<Value> = (value: { readonly value: Value } | undefined) => void;

/** A bound key. */
export interface KeyClaim {
    readonly submission: SubmissionKey;
    readonly jobDigest: string;
}

/** How an attempt to change the manifest ended. */
export type ApplyOutcome =
    | { readonly kind: "accepted"; readonly manifest: VersionedManifest }
    | { readonly kind: "conflict"; readonly currentManifest: VersionedManifest };

/** Readings of the manifest that can be answered again. */
const maximumKeptManifestReads = 100;

/** Rows and objects in memory. */
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
     * @param queue - events of the deployment
     * @param clock - its clock
     * @param latencies - its times
     * @param observer - watches the requests
     * @param record - keeps accepted manifests for the checker
     */
    public constructor(
        private readonly queue: EventQueue,
        private readonly clock: Clock,
        private readonly latencies: Latencies,
        private readonly observer: DeploymentObserver,
        private readonly record: DeploymentRecord,
    ) {}

    /** What is wrong at present. */
    public get fault(): PlatformFault {
        return this.currentFault;
    }

    /**
     * Switches a fault on, or off by "none".
     *
     * @param fault - the fault
     */
    public setFault(fault: PlatformFault): void {
        const { platformOutages } = this.record;
        const last = platformOutages.length - 1;
        const outage = platformOutages[last];
        const now = this.clock.nowMilliseconds();
        // A platform slower than its clients' patience answers nobody either.
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

    /** The newest accepted manifest, as an operator would read it. */
    public get manifest(): VersionedManifest | undefined {
        return this.acceptedManifest;
    }

    /**
     * Binds a key unless it is bound.
     *
     * @param scope - team, service and key
     * @param claim - what to bind it to
     * @param reply - gets the claim that holds
     */
    public claimKey(scope: string, claim: KeyClaim, reply: PlatformReply<KeyClaim>): void {
        this.sendRequest("claimKey", true, () => {
            const boundClaim = this.claims.get(scope) ?? claim;
            this.claims.set(scope, boundClaim);
            return boundClaim;
        }, reply);
    }

    /**
     * Reads the claim of a key.
     *
     * @param scope - team, service and key
     * @param reply - gets the claim, or undefined when the key is free
     */
    public readClaim(scope: string, reply: PlatformReply<KeyClaim | undefined>): void {
        this.sendRequest("readClaim", false, () => this.claims.get(scope), reply);
    }

    /**
     * Writes an agent's row under the next number; a row that exists keeps its number.
     *
     * @param registration - the row without its number
     * @param reply - gets the number
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
     * Reads an agent's row.
     *
     * @param incarnation - the agent's incarnation
     * @param reply - gets the row, or undefined when there is none
     */
    public readAgent(incarnation: Incarnation, reply: PlatformReply<AgentRegistration | undefined>): void {
        this.sendRequest("readAgent", false, () => this.agents.get(incarnation), reply);
    }

    /**
     * Marks an agent's row as left.
     *
     * @param incarnation - the agent's incarnation
     * @param reply - gets nothing
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
     * Writes an entry's row.
     *
     * @param registration - the row
     * @param reply - gets nothing
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
     * @param reply - gets all rows as of one instant
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
     * @param reply - gets the manifest, or undefined when none was accepted
     */
    public readManifest(reply: PlatformReply<VersionedManifest | undefined>): void {
        this.sendRequest("readManifest", false, () => {
            this.recordManifestRead(reply, this.acceptedManifest);
            return this.acceptedManifest;
        }, reply);
    }

    /** Answers every earlier reading of the manifest again, with what it was then. */
    public replayManifestReads(): void {
        for (const [reply, manifest] of this.manifestReads) {
            this.queue.schedule(this.clock.nowMilliseconds(), reply, { value: manifest });
        }
    }

    /**
     * Accepts a manifest if nobody else changed it since.
     *
     * @param manifest - the new content
     * @param baseVersion - version it is based on, 0 for the first
     * @param appliedBy - who applies it
     * @param reply - gets the outcome
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
     * @param handover - its content
     * @param reply - gets nothing
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
     * @param reply - gets the object, or undefined when there is none
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

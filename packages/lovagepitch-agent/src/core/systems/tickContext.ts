/**
 * Context that all systems of a tick share.
 */
import type { Decision } from "@lovagepitch/types/decision";
import type { PeerAddress, PeerIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { PeerMessage, TaskReport } from "@lovagepitch/types/peerMessage";
import type { SubmissionCodec } from "@lovagepitch/utils/submissionCodec";
import type { AgentCoreSettings } from "../agentCoreSettings.js";
import type { AgentOutput } from "../agentOutput.js";
import { type AgentTables, createPeerScopedKey } from "../entities/agentTables.js";
import type { OfferPolicy } from "../policies/offerPolicy.js";

/** Dependencies of an agent's core, which stay the same in all ticks. */
export interface AgentCoreDependencies {
    readonly tables: AgentTables;
    readonly identity: PeerIdentity;
    readonly settings: AgentCoreSettings;
    readonly codec: SubmissionCodec;
    readonly offerPolicy: OfferPolicy;
}

/** Reports to one entry about one submission, collected during a tick. */
export interface PendingReport {
    readonly destination: PeerAddress;
    readonly submission: SubmissionKey;
    readonly reports: Map<number, TaskReport>;
}

/** Time, pending reports and outputs of one tick. */
export class TickContext {
    public readonly outputs: AgentOutput[] = [];
    public readonly pendingReports = new Map<string, PendingReport>();
    /** Number of slots and queue places that this tick offers, by address of the entry. */
    public readonly offeredSlots = new Map<PeerAddress, number>();
    private earliestWakeAtMilliseconds: number | undefined;

    /**
     * @param dependencies - tables, identity, settings and policies of the core
     * @param now - time of the tick, in milliseconds since the epoch
     */
    public constructor(public readonly dependencies: AgentCoreDependencies, public readonly now: number) {}

    /** State of the agent's core. */
    public get tables(): AgentTables {
        return this.dependencies.tables;
    }

    /** Settings that the agent's core reads. */
    public get settings(): AgentCoreSettings {
        return this.dependencies.settings;
    }

    /**
     * Earliest time at which a system requested another tick.
     *
     * @returns the time in milliseconds since the epoch, or undefined when no tick was requested
     */
    public get nextWakeAtMilliseconds(): number | undefined {
        return this.earliestWakeAtMilliseconds;
    }

    /**
     * Requests another tick at a time.
     *
     * @param timeMilliseconds - time of the tick, in milliseconds since the epoch; undefined has no effect
     */
    public wakeAt(timeMilliseconds: number | undefined): void {
        if (timeMilliseconds === undefined) {
            return;
        }
        this.earliestWakeAtMilliseconds = Math.min(
            this.earliestWakeAtMilliseconds ?? timeMilliseconds,
            timeMilliseconds,
        );
    }

    /**
     * Adds a message to the outputs of the tick.
     *
     * @param destination - address of the receiver
     * @param message - message to send
     */
    public send(destination: PeerAddress, message: PeerMessage): void {
        this.outputs.push({ type: "send", destination, message });
    }

    /**
     * Adds a task report to the pending reports of the tick; it replaces an earlier report on the same task.
     *
     * @param destination - address of the entry
     * @param submission - id of the submission
     * @param report - index and state of the task
     */
    public addReport(destination: PeerAddress, submission: SubmissionKey, report: TaskReport): void {
        const key = createPeerScopedKey(destination, submission);
        let pending = this.pendingReports.get(key);
        if (pending === undefined) {
            pending = { destination, submission, reports: new Map() };
            this.pendingReports.set(key, pending);
        }
        pending.reports.set(report.index, report);
    }

    /**
     * Adds a decision for the log to the outputs of the tick.
     *
     * @param decision - kind of the decision
     * @param reason - reason for the decision
     * @param details - submission, task and peer of the decision
     */
    public logDecision(
        decision: Decision["decision"],
        reason: string,
        details: Pick<Decision, "submission" | "task" | "peer"> = {},
    ): void {
        this.outputs.push({
            type: "decision",
            decision: {
                decision,
                reason,
                ...details,
                worker: this.settings.worker,
                availabilityZone: this.settings.availabilityZone,
                configurationVersion: this.tables.configurationVersion,
            },
        });
    }
}

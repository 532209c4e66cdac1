/**
 * What the systems of one tick share.
 */
import type { Decision } from "@lovagepitch/types/decision";
import type { PeerAddress, PeerIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { PeerMessage, TaskReport } from "@lovagepitch/types/peerMessage";
import type { SubmissionCodec } from "@lovagepitch/utils/submissionCodec";
import type { AgentCoreSettings } from "../agentCoreSettings.js";
import type { AgentOutput } from "../agentOutput.js";
import { type AgentTables, createPeerScopedKey } from "../entities/agentTables.js";
import type { OfferPolicy } from "../policies/offerPolicy.js";

/** Parts of an agent's core that do not change. */
export interface AgentCoreDependencies {
    readonly tables: AgentTables;
    readonly identity: PeerIdentity;
    readonly settings: AgentCoreSettings;
    readonly codec: SubmissionCodec;
    readonly offerPolicy: OfferPolicy;
}

/** Reports to one entry about one submission, gathered over a tick. */
export interface PendingReport {
    readonly destination: PeerAddress;
    readonly submission: SubmissionKey;
    readonly reports: Map<number, TaskReport>;
}

/** One tick: its instant and what it has to say. */
export class TickContext {
    public readonly outputs: AgentOutput[] = [];
    public readonly pendingReports = new Map<string, PendingReport>();
    /** Slots that this tick offers, by entry. */
    public readonly offeredSlots = new Map<PeerAddress, number>();
    private earliestWakeMilliseconds: number | undefined;

    /**
     * @param dependencies - the core's parts
     * @param now - the tick's instant, in milliseconds since the epoch
     */
    public constructor(public readonly dependencies: AgentCoreDependencies, public readonly now: number) {}

    /** The agent's tables. */
    public get tables(): AgentTables {
        return this.dependencies.tables;
    }

    /** The agent's settings. */
    public get settings(): AgentCoreSettings {
        return this.dependencies.settings;
    }

    /**
     * Instant of the next tick that a system asked for.
     *
     * @returns milliseconds since the epoch, or undefined when none did
     */
    public get nextWakeMilliseconds(): number | undefined {
        return this.earliestWakeMilliseconds;
    }

    /**
     * Asks for a tick.
     *
     * @param instantMilliseconds - when; undefined for never
     */
    public wakeAt(instantMilliseconds: number | undefined): void {
        if (instantMilliseconds === undefined) {
            return;
        }
        this.earliestWakeMilliseconds = Math.min(
            this.earliestWakeMilliseconds ?? instantMilliseconds,
            instantMilliseconds,
        );
    }

    /**
     * Sends a message.
     *
     * @param destination - the receiver
     * @param message - the message
     */
    public send(destination: PeerAddress, message: PeerMessage): void {
        this.outputs.push({ type: "send", destination, message });
    }

    /**
     * Adds a report to what the tick sends; a later report of the same task replaces it.
     *
     * @param destination - the receiver
     * @param submission - the submission
     * @param report - the report
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
     * Logs a decision.
     *
     * @param decision - what was decided
     * @param reason - the fact it rests on
     * @param facts - the task it is about
     */
    public logDecision(
        decision: Decision["decision"],
        reason: string,
        facts: Pick<Decision, "submission" | "task" | "peer"> = {},
    ): void {
        this.outputs.push({
            type: "decision",
            decision: {
                decision,
                reason,
                ...facts,
                worker: this.settings.worker,
                availabilityZone: this.settings.availabilityZone,
                configurationVersion: this.tables.configurationVersion,
            },
        });
    }
}

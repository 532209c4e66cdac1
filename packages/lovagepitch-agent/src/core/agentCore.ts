/**
 * The agent's core: processes inputs in ticks and returns the resulting outputs. It performs no I/O.
 */
import type { PeerIdentity } from "@lovagepitch/types/identity";
import type { LedgerHandover } from "@lovagepitch/types/ledger";
import type { Clock } from "@lovagepitch/utils/clock";
import { Core } from "@lovagepitch/utils/core";
import type { SubmissionCodec } from "@lovagepitch/utils/submissionCodec";
import type { AgentCoreSettings } from "./agentCoreSettings.js";
import type { AgentInput } from "./agentInput.js";
import type { AgentOutput } from "./agentOutput.js";
import { type AgentStatus, createAgentStatus } from "./agentStatus.js";
import { AgentTables } from "./entities/agentTables.js";
import { createStartedTaskReports } from "./entities/ledger.js";
import { type OfferPolicy, OldestBidFirst } from "./policies/offerPolicy.js";
import { countSlots, isSuspect } from "./systems/agentLoad.js";
import { announceAgent } from "./systems/announceAgent.js";
import { checkBackendServerTimeout } from "./systems/backendServer.js";
import { refreshConfiguration } from "./systems/configuration.js";
import { deliverOutcomes } from "./systems/deliverOutcomes.js";
import { evictSubmissions } from "./systems/evictSubmissions.js";
import { completeShutdown } from "./systems/gracefulShutdown.js";
import { handleInputs } from "./systems/handleInputs.js";
import { offerFreeSlots, offerPrefetchPlaces } from "./systems/offerSlots.js";
import { requestRegistration } from "./systems/registration.js";
import { expireOffers } from "./systems/reservations.js";
import { sendReports } from "./systems/sendReports.js";
import { startQueuedTasks } from "./systems/startQueuedTasks.js";
import { type AgentCoreDependencies, TickContext } from "./systems/tickContext.js";

/** Identity, settings and injected dependencies of an agent's core. */
export interface AgentCoreOptions {
    readonly identity: PeerIdentity;
    readonly settings: AgentCoreSettings;
    readonly codec: SubmissionCodec;
    readonly clock: Clock;
    /** Selects the bid that the next free slot is offered to; `OldestBidFirst` when absent. */
    readonly offerPolicy?: OfferPolicy;
}

/** Decides which tasks an agent starts or refuses, what it reports to entries, and which free slots it offers. */
export class AgentCore extends Core<AgentInput, AgentOutput> {
    private readonly tables = new AgentTables();
    private readonly dependencies: AgentCoreDependencies;
    private readonly clock: Clock;
    private inputs: AgentInput[] = [];
    private wakeAtMilliseconds: number | undefined;

    /**
     * @param options - identity, settings and injected dependencies
     */
    public constructor(options: AgentCoreOptions) {
        super();
        const { identity, settings, codec, clock, offerPolicy = new OldestBidFirst() } = options;
        this.dependencies = { tables: this.tables, identity, settings, codec, offerPolicy };
        this.clock = clock;
    }

    /** {@inheritDoc @lovagepitch/utils#Core.accept} */
    public override accept(input: AgentInput): void {
        this.inputs.push(input);
    }

    /** {@inheritDoc @lovagepitch/utils#Core.isUrgent} */
    public override isUrgent(): boolean {
        return true;
    }

    /** {@inheritDoc @lovagepitch/utils#Core.tick} */
    public override tick(): readonly AgentOutput[] {
        const context = new TickContext(this.dependencies, this.clock.nowMilliseconds());
        const inputs = this.inputs;
        this.inputs = [];
        handleInputs(context, inputs);
        checkBackendServerTimeout(context);
        requestRegistration(context);
        expireOffers(context);
        startQueuedTasks(context);
        offerFreeSlots(context);
        deliverOutcomes(context);
        offerPrefetchPlaces(context);
        evictSubmissions(context);
        refreshConfiguration(context);
        announceAgent(context);
        sendReports(context);
        completeShutdown(context);
        this.wakeAtMilliseconds = context.nextWakeAtMilliseconds;
        return context.outputs;
    }

    /** {@inheritDoc @lovagepitch/utils#Core.nextWakeAtMilliseconds} */
    public override nextWakeAtMilliseconds(): number | undefined {
        return this.inputs.length > 0 ? this.clock.nowMilliseconds() : this.wakeAtMilliseconds;
    }

    /**
     * Tells whether a graceful shutdown is complete.
     *
     * @returns true when no task is running or queued and every task result is acknowledged or undeliverable
     */
    public isDrained(): boolean {
        return this.tables.agentState === "stopped";
    }

    /**
     * Creates the handover of a stopped agent, which entries read when they collect the outcomes of a submission whose
     * owner was lost.
     *
     * @returns the reports of all started tasks by submission, and the low-water mark of each owner
     */
    public createLedgerHandover(): LedgerHandover {
        const submissions = [...this.tables.submissions.values()]
            .map(row => ({
                submission: row.submission,
                reports: createStartedTaskReports(this.tables, row.submission),
            }))
            .filter(row => row.reports.length > 0);
        const lowWaterMarks = Object.fromEntries(this.tables.lowWaterMarks.entries());
        return { incarnation: this.dependencies.identity.incarnation, submissions, lowWaterMarks };
    }

    /**
     * Summarizes the agent's state for operators.
     *
     * @returns the fields that `/status` and the metrics are made from
     */
    public getStatus(): AgentStatus {
        const context = new TickContext(this.dependencies, this.clock.nowMilliseconds());
        return createAgentStatus(this.tables, countSlots(context), isSuspect(context));
    }
}

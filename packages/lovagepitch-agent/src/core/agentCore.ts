/**
 * The decisions of an agent.
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
import { evictLedger } from "./systems/evictLedger.js";
import { handleInputs } from "./systems/handleInputs.js";
import { offerFreeSlots, offerPrefetchPlaces } from "./systems/offerSlots.js";
import { endStop } from "./systems/plannedStop.js";
import { requestRegistration } from "./systems/registration.js";
import { expireOffers } from "./systems/reservations.js";
import { sendReports } from "./systems/sendReports.js";
import { startStandingByTasks } from "./systems/startStandingByTasks.js";
import { type AgentCoreDependencies, TickContext } from "./systems/tickContext.js";

/** What an agent's core is made of. */
export interface AgentCoreOptions {
    readonly identity: PeerIdentity;
    readonly settings: AgentCoreSettings;
    readonly codec: SubmissionCodec;
    readonly clock: Clock;
    /** `OldestBidFirst` when absent. */
    readonly offerPolicy?: OfferPolicy;
}

/** Decides what an agent starts, refuses, reports and offers. */
export class AgentCore extends Core<AgentInput, AgentOutput> {
    private readonly tables = new AgentTables();
    private readonly dependencies: AgentCoreDependencies;
    private readonly clock: Clock;
    private inputs: AgentInput[] = [];
    private wakeMilliseconds: number | undefined;

    /**
     * @param options - identity, settings and the parts that are passed in
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

    /** {@inheritDoc @lovagepitch/utils#Core.tick} */
    public override tick(): readonly AgentOutput[] {
        const context = new TickContext(this.dependencies, this.clock.nowMilliseconds());
        const inputs = this.inputs;
        this.inputs = [];
        handleInputs(context, inputs);
        checkBackendServerTimeout(context);
        requestRegistration(context);
        expireOffers(context);
        startStandingByTasks(context);
        offerFreeSlots(context);
        deliverOutcomes(context);
        offerPrefetchPlaces(context);
        evictLedger(context);
        refreshConfiguration(context);
        announceAgent(context);
        sendReports(context);
        endStop(context);
        this.wakeMilliseconds = context.nextWakeMilliseconds;
        return context.outputs;
    }

    /** {@inheritDoc @lovagepitch/utils#Core.nextWakeMilliseconds} */
    public override nextWakeAtMilliseconds(): number | undefined {
        return this.inputs.length > 0 ? this.clock.nowMilliseconds() : this.wakeMilliseconds;
    }

    /**
     * Tells whether a planned stop has nothing left to wait for.
     *
     * @returns true when nothing runs and every outcome has arrived or cannot be delivered
     */
    public isDrained(): boolean {
        return this.tables.agentState === "stopped";
    }

    /**
     * Collects what a stopped agent leaves to sweeps.
     *
     * @returns the started tasks and the low-water marks
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
     * Describes the agent for its operator.
     *
     * @returns the agent's state
     */
    public getStatus(): AgentStatus {
        const context = new TickContext(this.dependencies, this.clock.nowMilliseconds());
        return createAgentStatus(this.tables, countSlots(context), isSuspect(context));
    }
}

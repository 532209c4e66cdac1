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
import { type AgentStatus, describeStatus } from "./agentStatus.js";
import { AgentTables } from "./entities/agentTables.js";
import { describeStartedTasks } from "./entities/ledger.js";
import { type OfferPolicy, OldestBidFirst } from "./policies/offerPolicy.js";
import { countSlots, isSuspect } from "./systems/agentLoad.js";
import { announceAgent } from "./systems/announceAgent.js";
import { watchBackendServer } from "./systems/backendServer.js";
import { catchUpConfiguration } from "./systems/configuration.js";
import { deliverOutcomes } from "./systems/deliverOutcomes.js";
import { evictLedger } from "./systems/evictLedger.js";
import { handleInputs } from "./systems/handleInputs.js";
import { offerFetchAhead, offerFreeSlots } from "./systems/offerSlots.js";
import { endStop } from "./systems/plannedStop.js";
import { register } from "./systems/registration.js";
import { expireOffers } from "./systems/reservations.js";
import { sendReports } from "./systems/sendReports.js";
import { startStandingBy } from "./systems/startStandingBy.js";
import { type AgentCoreParts, TickContext } from "./systems/tickContext.js";

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
    private readonly parts: AgentCoreParts;
    private readonly clock: Clock;
    private inputs: AgentInput[] = [];
    private wakeMilliseconds: number | undefined;

    /**
     * @param options - identity, settings and the parts that are passed in
     */
    public constructor(options: AgentCoreOptions) {
        super();
        const { identity, settings, codec, clock, offerPolicy = new OldestBidFirst() } = options;
        this.parts = { tables: this.tables, identity, settings, codec, offerPolicy };
        this.clock = clock;
    }

    /** {@inheritDoc @lovagepitch/utils#Core.accept} */
    public override accept(input: AgentInput): void {
        this.inputs.push(input);
    }

    /** {@inheritDoc @lovagepitch/utils#Core.tick} */
    public override tick(): readonly AgentOutput[] {
        const context = new TickContext(this.parts, this.clock.nowMilliseconds());
        const inputs = this.inputs;
        this.inputs = [];
        handleInputs(context, inputs);
        watchBackendServer(context);
        register(context);
        expireOffers(context);
        startStandingBy(context);
        offerFreeSlots(context);
        deliverOutcomes(context);
        offerFetchAhead(context);
        evictLedger(context);
        catchUpConfiguration(context);
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
        return this.tables.agent === "stopped";
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
                reports: describeStartedTasks(this.tables, row.submission),
            }))
            .filter(row => row.reports.length > 0);
        const lowWaterMarks = Object.fromEntries(this.tables.lowWaterMarks.entries());
        return { incarnation: this.parts.identity.incarnation, submissions, lowWaterMarks };
    }

    /**
     * Describes the agent for its operator.
     *
     * @returns the agent's state
     */
    public getStatus(): AgentStatus {
        const context = new TickContext(this.parts, this.clock.nowMilliseconds());
        return describeStatus(this.tables, countSlots(context), isSuspect(context));
    }
}

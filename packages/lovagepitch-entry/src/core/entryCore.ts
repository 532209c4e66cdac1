/**
 * Core of an entry: routing, admission, placement and answers. It performs no I/O; its outputs are the actions that
 * the process performs.
 */
import type { AnswerRecord, AnswersHandover } from "@lovagepitch/types/ledger";
import type { ProblemKind } from "@lovagepitch/types/problem";
import { Core } from "@lovagepitch/utils/core";
import type { EntryInput, HandoverOutcome } from "./entryInput.js";
import type { EntryOutput } from "./entryOutput.js";
import { type EntryCoreDependencies, type EntryPolicies, EntryState, type TimerKey } from "./entryState.js";
import { RandomBids } from "./policies/bidPolicy.js";
import { OwnZoneFirst } from "./policies/placementPolicy.js";
import { OldestFirst, ShortestWorkWithAgeLimit } from "./policies/startOrderPolicy.js";
import { checkAgent } from "./systems/agentLiveness.js";
import { applyRegistry } from "./systems/agentRegistry.js";
import { declineOffers, placeBids } from "./systems/bidding.js";
import { createStoppingProblem, issueSubmissionIds, removeCaller } from "./systems/callerRequests.js";
import { claimKey, refuseBeforeClaim, resolveClaim } from "./systems/claims.js";
import { failSubmission, removeResult } from "./systems/finishing.js";
import { checkForward } from "./systems/forwarding.js";
import { handleBatch } from "./systems/messages.js";
import { applyLedger, checkCollection, endCollection, resumeCollections } from "./systems/outcomeCollection.js";
import { placeTasks } from "./systems/placement.js";
import { applyRemovedAgentLedger, markHeldTasksLost } from "./systems/removedAgents.js";
import { routeRequest } from "./systems/routing.js";
import { applyManifest, refreshCandidates } from "./systems/workClasses.js";

/** Gauges and counters of an entry, for its status document and metrics. */
export interface EntryStatus {
    readonly configurationVersion: number;
    readonly registryVersion: number;
    readonly agents: number;
    /** Serving agents of the registry that have not announced themselves to this entry; no task is placed on them. */
    readonly unknownAgents: number;
    readonly knownSlots: number;
    readonly waitingTasks: number;
    readonly runningTasks: number;
    readonly starts: number;
    readonly wastedMessages: number;
    readonly refusals: ReadonlyMap<ProblemKind, number>;
}

/** Collects inputs and handles them once per tick. */
export class EntryCore extends Core<EntryInput, EntryOutput> {
    private readonly state: EntryState;
    private inputs: EntryInput[] = [];

    /**
     * @param dependencies - identity, settings, clock and other dependencies
     */
    public constructor(dependencies: EntryCoreDependencies) {
        super();
        this.state = new EntryState(dependencies, { ...createPolicies(dependencies), ...dependencies.policies });
    }

    /** {@inheritDoc Core.accept} */
    public override accept(input: EntryInput): void {
        this.inputs.push(input);
    }

    /** {@inheritDoc Core.isUrgent} */
    public override isUrgent(): boolean {
        return true;
    }

    /** {@inheritDoc Core.tick} */
    public override tick(): readonly EntryOutput[] {
        const inputs = this.inputs;
        this.inputs = [];
        for (const input of inputs) {
            this.handleInput(input);
        }
        this.runTimers();
        refreshCandidates(this.state);
        placeTasks(this.state);
        placeBids(this.state);
        declineOffers(this.state);
        return this.state.takeOutputs();
    }

    /** {@inheritDoc Core.nextWakeAtMilliseconds} */
    public override nextWakeAtMilliseconds(): number | undefined {
        return this.state.timers.peekPriority();
    }

    /**
     * Tells whether a graceful shutdown can end the process.
     *
     * @returns true when no caller waits for a response and no submission is live
     */
    public isDrained(): boolean {
        const hasLiveSubmissions = [...this.state.submissions.values()].some(row => row.state === "live");
        const hasWaitingCallers = [...this.state.collections.values()].some(row => row.callers.length > 0);
        return !hasLiveSubmissions && !hasWaitingCallers && this.state.forwards.size === 0
            && this.state.claims.size === 0;
    }

    /**
     * Collects the finished answers, so that other entries can serve them after this one has stopped.
     *
     * @returns handover object for the object store
     */
    public createAnswersHandover(): AnswersHandover {
        const answers: AnswerRecord[] = [];
        for (const row of this.state.submissions.values()) {
            if (row.state === "finished" && row.result.kind === "answer") {
                answers.push({ submission: row.submission, jobDigest: row.jobDigest, answer: row.result.answer });
            }
        }
        return { incarnation: this.state.dependencies.identity.incarnation, answers };
    }

    /**
     * Reads the gauges and counters of the entry.
     *
     * @returns current values, and totals since the process started
     */
    public getStatus(): EntryStatus {
        const agents = [...this.state.agents.values()].filter(agent => !agent.isUnresponsive);
        return {
            configurationVersion: this.state.configurationVersion,
            registryVersion: this.state.registryVersion,
            agents: agents.length,
            unknownAgents:
                this.state.registry.agents.filter(agent =>
                    agent.state === "serving" && !this.state.agents.has(agent.address)
                ).length,
            knownSlots: agents.reduce((sum, agent) => sum + agent.load.slots, 0),
            waitingTasks: this.state.waitingTasks,
            runningTasks: [...this.state.startedTasksByTeam.values()].reduce((sum, tasks) => sum + tasks, 0),
            starts: this.state.counters.starts,
            wastedMessages: this.state.counters.wastedMessages,
            refusals: this.state.counters.refusals,
        };
    }

    private handleInput(input: EntryInput): void {
        const state = this.state;
        switch (input.type) {
            case "peerBatch":
                handleBatch(state, input.batch);
                return;
            case "issue":
                issueSubmissionIds(state, input.request, input.count);
                return;
            case "submit":
                routeRequest(state, { request: input.request, operation: "submit" }, input.submission, input.job);
                return;
            case "submitWithKey":
                this.submitWithKey(input);
                return;
            case "claimResolved":
                resolveClaim(state, input.request, input.outcome);
                return;
            case "query":
                routeRequest(state, { request: input.request, operation: "query" }, input.submission, undefined);
                return;
            case "cancel":
                routeRequest(state, { request: input.request, operation: "cancel" }, input.submission, undefined);
                return;
            case "requestClosed":
                removeCaller(state, input.request);
                return;
            default:
                this.handlePlatformInput(input);
        }
    }

    private handlePlatformInput(input: EntryInput): void {
        const state = this.state;
        switch (input.type) {
            case "registryRead":
                state.hasReadRegistry = true;
                applyRegistry(state, input.registry);
                resumeCollections(state);
                return;
            case "manifestAccepted":
                applyManifest(state, input.manifest);
                return;
            case "handoverRead":
                this.applyHandover(input.incarnation, input.outcome);
                return;
            case "stop":
                state.isStopping = true;
                return;
            default:
                // An unreachable peer or store needs no action: every row that waits for one has a timer.
                return;
        }
    }

    private submitWithKey(input: Extract<EntryInput, { readonly type: "submitWithKey" }>): void {
        const problem = this.state.isStopping
            ? this.state.recordRefusal(createStoppingProblem("unknown-yet"))
            : refuseBeforeClaim(this.state, input.job);
        if (problem !== undefined) {
            this.state.emit({ type: "respond", request: input.request, response: { kind: "problem", problem } });
            return;
        }
        claimKey(this.state, input.request, input.key, input.job);
    }

    private applyHandover(incarnation: string, outcome: HandoverOutcome): void {
        const state = this.state;
        if (outcome.kind === "answers") {
            for (const record of outcome.handover.answers) {
                if (state.collections.has(record.submission)) {
                    const result = { kind: "answer" as const, answer: record.answer };
                    endCollection(state, record.submission, record.jobDigest, result);
                }
            }
        }
        if (outcome.kind === "ledger") {
            applyRemovedAgentLedger(state, incarnation, outcome.handover);
            applyLedger(state, incarnation, outcome.handover);
        }
        for (const row of [...state.collections.values()]) {
            if (row.isReadingAnswers && row.identity.owner.incarnation === incarnation) {
                state.collections.update(row.submission, { isReadingAnswers: false });
            }
        }
        if (outcome.kind === "absent" || outcome.kind === "unavailable") {
            markHeldTasksLost(state, incarnation);
        }
        if (outcome.kind === "absent") {
            applyLedger(state, incarnation, undefined);
        }
        resumeCollections(state);
    }

    private runTimers(): void {
        const now = this.state.now;
        while ((this.state.timers.peekPriority() ?? Number.POSITIVE_INFINITY) <= now) {
            this.runTimer(this.state.timers.pop()!);
        }
    }

    private runTimer({ purpose, key }: TimerKey): void {
        const state = this.state;
        switch (purpose) {
            case "deadline": {
                const row = state.submissions.get(key);
                if (row?.state === "live") {
                    failSubmission(state, row, "the deadline has passed");
                }
                return;
            }
            case "agent":
                checkAgent(state, key);
                return;
            case "forward":
                checkForward(state, key);
                return;
            case "collection":
                checkCollection(state, key);
                return;
            case "ledger":
                markHeldTasksLost(state, key);
                return;
            case "retention":
                removeResult(state, key);
                return;
            case "place":
                // No action: the tick places tasks after its timers have run.
                return;
        }
    }
}

function createPolicies(dependencies: EntryCoreDependencies): EntryPolicies {
    const policy = dependencies.settings.policy;
    return {
        startOrder: policy.startOrder === "oldest-first" ? new OldestFirst() : new ShortestWorkWithAgeLimit(),
        placement: new OwnZoneFirst(dependencies.settings.availabilityZone),
        bids: new RandomBids(policy.bids, dependencies.random),
    };
}

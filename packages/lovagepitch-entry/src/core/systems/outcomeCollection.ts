/**
 * Answers submissions whose owner entry is unavailable: seals them at every agent that may have started their tasks,
 * and collects the outcomes from the agents.
 */
import type { Incarnation, SubmissionIdentity, SubmissionKey } from "@lovagepitch/types/identity";
import type { JobRequest } from "@lovagepitch/types/job";
import type { LedgerHandover } from "@lovagepitch/types/ledger";
import type { ReportSeal, SubmissionResult } from "@lovagepitch/types/peerMessage";
import type { AgentRegistration, Registry } from "@lovagepitch/types/registry";
import { digestJson } from "@lovagepitch/utils/digest";
import type { EntryState } from "../entryState.js";
import type { CollectionAgent, CollectionRow } from "../tables/collectionRow.js";
import type { ForwardedCaller } from "../tables/forwardRow.js";
import { concludeCollection, createAbandonedResult } from "./collectionResult.js";
import { retainResult } from "./finishing.js";
import { respond } from "./respond.js";

/** Time between checks of a collection. */
const checkIntervalMilliseconds = 250;
/** Time after which a waiting caller is answered that the outcome is unknown. */
const replyTimeoutMilliseconds = 200;
/** Retry-After for callers that are answered that the outcome is unknown. */
const retryMilliseconds = 1_000;
/** Time after which a collection stops waiting for unreachable agents if the job, and so its deadline, is unknown. */
const unknownDeadlineMilliseconds = 60_000;

/** A submission to collect and the callers that wait for its result. */
export interface CollectionRequest {
    readonly submission: SubmissionKey;
    readonly identity: SubmissionIdentity;
    readonly job: JobRequest | undefined;
    readonly callers: readonly ForwardedCaller[];
}

/**
 * Starts the collection of a submission, or adds callers to the running one.
 *
 * @param state - entry state, updated in place
 * @param request - submission to collect and its waiting callers
 * @param reason - why its owner counts as unavailable, for the log
 */
export function collectOutcome(state: EntryState, request: CollectionRequest, reason: string): void {
    const waitingCallers = request.callers.filter(caller => !respondToQuery(state, request, caller));
    const earlier = state.collections.get(request.submission);
    const replyByMilliseconds = earlier !== undefined && earlier.callers.length > 0
        ? earlier.replyByMilliseconds
        : state.now + replyTimeoutMilliseconds;
    const job = request.job ?? earlier?.job;
    const startedAtMilliseconds = earlier?.startedAtMilliseconds ?? state.now;
    const row: CollectionRow = {
        submission: request.submission,
        identity: request.identity,
        job,
        callers: [...earlier?.callers ?? [], ...waitingCallers],
        startedAtMilliseconds,
        replyByMilliseconds,
        abandonAtMilliseconds: startedAtMilliseconds + (job?.deadlineMilliseconds ?? unknownDeadlineMilliseconds),
        isReadingAnswers: earlier?.isReadingAnswers ?? false,
        agents: earlier?.agents,
    };
    state.collections.set(row.submission, row);
    if (earlier === undefined) {
        startCollection(state, row, reason);
    }
    endCollectionIfConcluded(state, row.submission);
}

/**
 * Applies an agent's seal report.
 *
 * @param state - entry state, updated in place
 * @param incarnation - incarnation of the agent
 * @param message - tasks of the sealed submission that the agent has started
 */
export function applySeal(state: EntryState, incarnation: Incarnation, message: ReportSeal): void {
    const { submission, reports, incomplete } = message;
    updateCollectionAgent(state, submission, incarnation, { state: "sealed", reports, isIncomplete: incomplete });
}

/**
 * Applies the ledger that an agent has handed over to every collection that includes the agent.
 *
 * @param state - entry state, updated in place
 * @param incarnation - incarnation of the agent
 * @param handover - ledger of the agent, or undefined when it left none
 */
export function applyLedger(state: EntryState, incarnation: Incarnation, handover: LedgerHandover | undefined): void {
    for (const row of [...state.collections.values()]) {
        if (!row.agents?.has(incarnation)) {
            continue;
        }
        const ledgerRecord = handover?.submissions.find(record => record.submission === row.submission);
        const lowWaterMark = handover?.lowWaterMarks[row.identity.owner.incarnation] ?? 0;
        updateCollectionAgent(state, row.submission, incarnation, {
            state: handover === undefined ? "lost" : "sealed",
            reports: ledgerRecord?.reports ?? [],
            isIncomplete: handover === undefined || row.identity.sequence <= lowWaterMark,
        });
    }
}

/**
 * Seals the agents of collections that waited for a newer registry.
 *
 * @param state - entry state, updated in place
 */
export function resumeCollections(state: EntryState): void {
    for (const row of [...state.collections.values()]) {
        if (row.agents === undefined) {
            sealEligibleAgents(state, row);
            endCollectionIfConcluded(state, row.submission);
        }
    }
}

/**
 * Ends the collection of a submission whose final result is known.
 *
 * @param state - entry state, updated in place
 * @param submission - id of the collected submission
 * @param jobDigest - digest of its job; empty when this entry never received the job
 * @param result - final result, derived from the agents or found among the owner's answers
 */
export function endCollection(
    state: EntryState,
    submission: SubmissionKey,
    jobDigest: string,
    result: SubmissionResult,
): void {
    const row = state.collections.get(submission);
    state.collections.delete(submission);
    retainResult(state, submission, jobDigest, result);
    state.logDecision("answered", "collected from the agents", { submission });
    for (const caller of row?.callers ?? []) {
        respond(state, { kind: "caller", request: caller.request }, submission, result);
    }
}

/**
 * Checks a collection: repeats requests, answers waiting callers, or ends it at its time limit.
 *
 * @param state - entry state, updated in place
 * @param submission - id of the collected submission
 */
export function checkCollection(state: EntryState, submission: SubmissionKey): void {
    const row = state.collections.get(submission);
    if (row === undefined) {
        return;
    }
    if (row.agents === undefined) {
        state.emit({ type: "readRegistry" });
    }
    for (const agent of row.agents?.values() ?? []) {
        if (isSealRequestDue(agent)) {
            requestSeal(state, row, agent.registration);
        }
    }
    if (state.now >= row.abandonAtMilliseconds) {
        abandonCollection(state, row);
        return;
    }
    if (state.now >= row.replyByMilliseconds) {
        respondOutcomeUnknown(state, row);
    }
    scheduleCheck(state, submission);
}

function scheduleCheck(state: EntryState, submission: SubmissionKey): void {
    const row = state.collections.get(submission);
    const replyBy = row === undefined || row.callers.length === 0 ? undefined : row.replyByMilliseconds;
    const next = state.now + checkIntervalMilliseconds;
    const isReplyNext = replyBy !== undefined && replyBy > state.now && replyBy < next;
    state.scheduleTimer(isReplyNext ? replyBy : next, "collection", submission);
}

function startCollection(state: EntryState, row: CollectionRow, reason: string): void {
    state.logDecision("swept", reason, { submission: row.submission, peer: row.identity.owner.address });
    const owner = state.registry.entries.find(entry => entry.incarnation === row.identity.owner.incarnation);
    if (owner?.state !== "serving") {
        state.collections.update(row.submission, { isReadingAnswers: true });
        state.emit({ type: "readHandover", kind: "answers", incarnation: row.identity.owner.incarnation });
    }
    if (state.registry.version >= row.identity.registryVersion && state.hasReadRegistry) {
        sealEligibleAgents(state, row);
    }
    else {
        state.emit({ type: "readRegistry" });
    }
    scheduleCheck(state, row.submission);
}

function sealEligibleAgents(state: EntryState, row: CollectionRow): void {
    if (state.registry.version < row.identity.registryVersion || !state.hasReadRegistry) {
        return;
    }
    const agents = new Map<Incarnation, CollectionAgent>();
    for (const registration of listEligibleAgents(state.registry, row.identity.registryVersion)) {
        agents.set(registration.incarnation, { registration, state: "pending", reports: [], isIncomplete: false });
        requestSeal(state, row, registration);
    }
    state.collections.update(row.submission, { agents });
}

function listEligibleAgents(registry: Registry, registryVersion: number): readonly AgentRegistration[] {
    return registry.agents.filter(agent => agent.number <= registryVersion);
}

/** Requests a seal; for an agent that has left or was replaced, reads the ledger that it handed over instead. */
function requestSeal(state: EntryState, row: CollectionRow, registration: AgentRegistration): void {
    const known = state.agents.get(registration.address);
    const isReplaced = known !== undefined && known.incarnation !== registration.incarnation;
    if (registration.state === "left" || isReplaced) {
        state.emit({ type: "readHandover", kind: "ledger", incarnation: registration.incarnation });
        return;
    }
    state.send(registration.address, { type: "sealSubmissions", submissions: [row.submission] });
}

function isSealRequestDue(agent: CollectionAgent): boolean {
    return agent.state === "pending"
        || (agent.state === "sealed" && agent.reports.some(({ report }) => report.state === "running"));
}

function updateCollectionAgent(
    state: EntryState,
    submission: SubmissionKey,
    incarnation: Incarnation,
    fields: Partial<CollectionAgent>,
): void {
    const row = state.collections.get(submission);
    const agent = row?.agents?.get(incarnation);
    if (row?.agents === undefined || agent === undefined) {
        return;
    }
    const agents = new Map(row.agents).set(incarnation, { ...agent, ...fields });
    state.collections.update(submission, { agents });
    endCollectionIfConcluded(state, submission);
}

function endCollectionIfConcluded(state: EntryState, submission: SubmissionKey): void {
    const row = state.collections.get(submission);
    const result = row === undefined ? undefined : concludeCollection(state, row);
    if (row !== undefined && result !== undefined) {
        endCollection(state, submission, row.job === undefined ? "" : digestJson(row.job), result);
    }
}

function abandonCollection(state: EntryState, row: CollectionRow): void {
    const result = createAbandonedResult(state, row);
    if (result !== undefined) {
        endCollection(state, row.submission, row.job === undefined ? "" : digestJson(row.job), result);
        return;
    }
    respondOutcomeUnknown(state, row);
    state.collections.delete(row.submission);
}

function respondOutcomeUnknown(state: EntryState, row: CollectionRow): void {
    for (const caller of row.callers) {
        const problem = state.recordRefusal({
            kind: "outcome-unknown",
            status: 503,
            detail: "The entry that kept the submission is gone, and not all that it started is known yet.",
            remedy: "Send the same submission again after the time in Retry-After.",
            execution: "unknown-yet",
            retryAfterMilliseconds: retryMilliseconds,
        });
        const requester = { kind: "caller" as const, request: caller.request };
        respond(state, requester, row.submission, { kind: "problem", problem });
    }
    state.collections.update(row.submission, { callers: [] });
}

/** Answers a query immediately, with the state "collecting". */
function respondToQuery(state: EntryState, request: CollectionRequest, caller: ForwardedCaller): boolean {
    if (caller.operation !== "query") {
        return false;
    }
    const progress = { submission: request.submission, state: "collecting" as const, finishedTasks: 0, tasks: 0 };
    const requester = { kind: "caller" as const, request: caller.request };
    respond(state, requester, request.submission, { kind: "progress", progress });
    return true;
}

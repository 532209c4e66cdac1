/**
 * Opens and closes the connections that jobs are passed on through, and exchanges frames on them.
 */
import type { ForwardingReply } from "../model/forwarding.js";
import type { EntryProcess } from "../model/jobOwnership.js";
import { heartbeatIntervalMilliseconds, idleHeartbeatIntervalMilliseconds } from "../model/timing.js";
import type { EntryState } from "./entryState.js";
import { endForwardedJobs, receiveForwardedAnswer } from "./forwardedJobs.js";
import type { ForwardingLink } from "./forwardingLinks.js";
import { pickProcess } from "./ownershipOutput.js";

/** Number of entries with time to spare among which the jobs are divided. */
const usefulLinks = 3;

/** Largest number of connections, of which some may be to entries without time to spare. */
const maximumLinks = 5;

/** Time without a reply after which the receiver has ended the jobs that were passed on, in milliseconds. */
const silenceMilliseconds = 700;

/** Time after which a connection to an entry without time to spare is closed, in milliseconds. */
const uselessMilliseconds = 500;

/** Time for which an entry is not tried again, in milliseconds. */
const retryMilliseconds = 2000;

/** Time for which an entry is not tried again after its connection has failed, in milliseconds. */
const failureRetryMilliseconds = 1000;

/** Time for which an entry that has never replied is not tried again, in milliseconds; it may be of an earlier build. */
const unknownRetryMilliseconds = 10_000;

/** Largest number of submissions in one frame. */
const maximumSubmissionsPerFrame = 32;

/**
 * Processes a reply.
 *
 * @param state - state of the entry
 * @param address - host and port of the entry that sent it
 * @param reply - the reply
 * @param receivedAt - when it was read, in monotonic milliseconds
 */
export function receiveForwardingReply(
    state: EntryState,
    address: string,
    reply: ForwardingReply,
    receivedAt = state.now,
): void {
    const link = state.forwardingLinks.get(address);
    if (link === undefined) {
        return;
    }
    const isUseful = isUsefulLink(state, reply);
    state.forwardingLinks.set(address, {
        ...link,
        peer: reply.from,
        lastReplyAt: receivedAt,
        newestSentAt: reply.sentAt,
        load: reply.load,
        acceptsSubmissions: reply.acceptsSubmissions,
        configurationVersion: reply.configurationVersion,
        lastUsefulAt: isUseful ? receivedAt : link.lastUsefulAt,
    });
    reply.answers.forEach(answer => receiveForwardedAnswer(state, address, answer));
}

/** Tells whether an entry has time to spare by its latest reply. */
function isUsefulLink(
    state: EntryState,
    { load, acceptsSubmissions }: Pick<ForwardingLink, "load" | "acceptsSubmissions">,
): boolean {
    return acceptsSubmissions && state.policies.jobForwarding.weigh(load) > 0;
}

/**
 * Handles the end of a connection.
 *
 * @param state - state of the entry
 * @param address - host and port of the other entry
 */
export function receiveForwardingLinkClosed(state: EntryState, address: string): void {
    const link = state.forwardingLinks.get(address);
    if (link !== undefined) {
        const reason = "the connection to the entry that has the job has ended";
        removeLink(state, address, reason, computeRetryMilliseconds(link.peer));
    }
}

/**
 * Opens the connections that are needed and closes those that are not, or to entries that are silent.
 *
 * @param state - state of the entry
 */
export function updateForwardingConnections(state: EntryState): void {
    if (state.processorLoad.update(state.now)) {
        state.policies.jobForwarding.recordLoad(state.processorLoad.share);
    }
    if (state.forwardingLinks.size > 0) {
        closeLinks(state);
    }
    if (state.policies.jobForwarding.needsConnections && state.forwardingLinks.size < maximumLinks) {
        const useful = [...state.forwardingLinks.values()].filter(link => {
            return link.peer === undefined || isUsefulLink(state, link);
        });
        if (useful.length < usefulLinks) {
            openLink(state);
        }
    }
}

function closeLinks(state: EntryState): void {
    const inUse = listUsedAddresses(state);
    for (const { address, peer, lastReplyAt, lastUsefulAt } of [...state.forwardingLinks.values()]) {
        if (state.now - lastReplyAt > silenceMilliseconds) {
            close(state, address, "the entry that has the job is silent", computeRetryMilliseconds(peer));
        }
        else if (!inUse.has(address) && state.now - lastUsefulAt > uselessMilliseconds) {
            close(state, address, "it is not needed", retryMilliseconds);
        }
    }
}

function listUsedAddresses(state: EntryState): ReadonlySet<string> {
    return new Set([...state.forwardedJobs.values()].map(({ address }) => address));
}

function computeRetryMilliseconds(peer: EntryProcess | undefined): number {
    return peer === undefined ? unknownRetryMilliseconds : failureRetryMilliseconds;
}

function close(state: EntryState, address: string, reason: string, untilRetryMilliseconds: number): void {
    state.outputs.push({ kind: "close-entry", address });
    removeLink(state, address, reason, untilRetryMilliseconds);
}

function removeLink(state: EntryState, address: string, reason: string, untilRetryMilliseconds: number): void {
    state.log("info", "connection for passing jobs on ended", { address, reason });
    endForwardedJobs(state, address, reason);
    state.forwardingLinks.delete(address);
    state.forwardingRetryAt.set(address, state.now + untilRetryMilliseconds);
}

function openLink(state: EntryState): void {
    for (const [address, retryAt] of state.forwardingRetryAt) {
        if (state.now >= retryAt) {
            state.forwardingRetryAt.delete(address);
        }
    }
    const candidates = [...state.knownEntries.values()].filter(({ address }) => {
        return address !== state.identity.address && !state.forwardingLinks.has(address)
            && !state.forwardingRetryAt.has(address);
    });
    const chosen = candidates[candidates.length === 0 ? 0 : state.random.nextInteger(candidates.length)];
    if (chosen === undefined) {
        return;
    }
    state.forwardingLinks.set(chosen.address, {
        address: chosen.address,
        peer: undefined,
        lastReplyAt: state.now,
        newestSentAt: undefined,
        load: 1,
        acceptsSubmissions: false,
        configurationVersion: 0,
        lastFrameSentAt: Number.NEGATIVE_INFINITY,
        lastUsefulAt: state.now,
        submissions: [],
        withdrawals: [],
        cancellations: [],
    });
    state.outputs.push({ kind: "open-entry", address: chosen.address });
}

/**
 * Sends submissions, withdrawals and cancellations to the entries that jobs are passed on to, and heartbeats.
 *
 * @param state - state of the entry
 */
export function sendForwardingFrames(state: EntryState): void {
    if (state.forwardingLinks.size === 0) {
        return;
    }
    const inUse = listUsedAddresses(state);
    for (const link of [...state.forwardingLinks.values()]) {
        const { address, submissions, withdrawals, cancellations } = link;
        const interval = inUse.has(address) ? heartbeatIntervalMilliseconds : idleHeartbeatIntervalMilliseconds;
        const hasOrders = submissions.length > 0 || withdrawals.length > 0 || cancellations.length > 0;
        const isHeartbeatDue = state.now - link.lastFrameSentAt >= interval;
        // Until the first reply, nothing but the frame that opens the connection is sent.
        const isDue = link.peer === undefined ? link.lastFrameSentAt === Number.NEGATIVE_INFINITY : isHeartbeatDue;
        if (!hasOrders && !isDue) {
            continue;
        }
        for (let start = 0; start === 0 || start < submissions.length; start += maximumSubmissionsPerFrame) {
            const isLast = start + maximumSubmissionsPerFrame >= submissions.length;
            const frame = {
                kind: "forwarding",
                from: pickProcess(state),
                newestSentAt: link.newestSentAt,
                heldMilliseconds: state.now - link.lastReplyAt,
                configurationVersion: state.configuration?.version ?? 0,
                submissions: submissions.slice(start, start + maximumSubmissionsPerFrame),
                withdrawals: start === 0 ? withdrawals : [],
                cancellations: isLast ? cancellations : [],
            } as const;
            state.outputs.push({ kind: "forwarding-frame", address, frame });
        }
        state.forwardingLinks.set(address, {
            ...link,
            lastFrameSentAt: state.now,
            submissions: [],
            withdrawals: [],
            cancellations: [],
        });
    }
}

/**
 * Load pattern: most of what an entry of a large deployment receives only says that a peer is still there. A tick for each would cost
 * more than all ticks that decide something.
 */
import type { ForwardingFrame } from "../model/forwarding.js";
import type { AgentFrame } from "../model/frames.js";
import type { OwnershipMessage } from "../model/jobOwnership.js";
import { hasWaitingTasks } from "./entryFrames.js";
import type { EntryInput } from "./entryPorts.js";
import type { EntryState } from "./entryState.js";

/**
 * Tells whether an input has to be processed at once. What is not urgent renews what the entry knows already: an instant, which the
 * input names, or free capacity for which no task waits.
 *
 * @param state - state of the entry
 * @param input - the input
 * @returns false when the input may wait for the next tick
 */
export function isUrgentInput(state: EntryState, input: EntryInput): boolean {
    switch (input.kind) {
        case "frame":
            return isUrgentFrame(state, input.connection, input.frame);
        case "ownership":
            return !isSignOfLife(state, input.message);
        case "forwarding-frame":
            return hasForwardingNews(state, input.connection, input.frame);
        case "forwarding-reply":
            return input.reply.answers.length > 0;
        default:
            return true;
    }
}

function isUrgentFrame(state: EntryState, connection: number, frame: AgentFrame): boolean {
    const row = state.agents.get(frame.agent);
    if (row?.connection !== connection || frame.openRuns !== undefined || hasWaitingTasks(state)) {
        return true;
    }
    const { configuration, worker } = frame;
    const hasNews = frame.ended.length > 0 || frame.evacuations !== undefined || (frame.crashes?.length ?? 0) > 0
        || configuration.isRequested === true || configuration.configuration !== undefined
        || configuration.version !== row.configurationVersion;
    return hasNews || worker?.acceptsTasks !== row.worker?.acceptsTasks
        || worker?.isRestored !== row.worker?.isRestored;
}

/** Tells whether a message says no more than that a known process is there. */
function isSignOfLife(state: EntryState, message: OwnershipMessage): boolean {
    return message.kind === "open-jobs" && message.jobs.length === 0
        && state.announcedJobs.isKnown(message.from.incarnation);
}

function hasForwardingNews(state: EntryState, connection: number, frame: ForwardingFrame): boolean {
    return !state.forwardingClients.has(connection) || frame.submissions.length > 0 || frame.withdrawals.length > 0
        || frame.cancellations.length > 0;
}

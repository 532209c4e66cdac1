/**
 * Cuts of the entry from the deployment, during which it hears neither agents nor other entries.
 */
import { reactionAllowanceMilliseconds } from "../model/timing.js";
import {
    announcedAfterMilliseconds,
    listeningMilliseconds,
    repetitionMilliseconds,
} from "../policies/jobAnnouncements.js";
import { canReceiveTasks } from "./agentFrames.js";
import type { EntryState } from "./entryState.js";
import { inquireOpenJobs } from "./jobInquiries.js";

/**
 * Detects that the entry was cut off from all agents, and so perhaps from the entries. Other entries may have started its jobs
 * meanwhile, and have announced others: it announces its jobs again, asks the others for them, and places no tasks until the
 * answers may have arrived. Until announcements have been repeated, it asks for new jobs too.
 *
 * @param state - state of the entry
 */
export function detectCut(state: EntryState): void {
    const wasCutOff = state.isCutOff;
    state.isCutOff = !hearsAgent(state);
    if (!wasCutOff || state.isCutOff) {
        return;
    }
    state.listensUntil = state.now + listeningMilliseconds;
    state.jobAnnouncements.repeat(false);
    if (state.hasHeardAgent) {
        state.inquiresUntil = state.now + repetitionMilliseconds + listeningMilliseconds;
        inquireOpenJobs(state);
    }
    state.hasHeardAgent = true;
    const [oldest] = state.jobs.values();
    if (oldest !== undefined && state.now - oldest.acceptedAt >= announcedAfterMilliseconds) {
        state.placesFrom = Math.max(state.placesFrom, state.now + reactionAllowanceMilliseconds);
    }
}

function hearsAgent(state: EntryState): boolean {
    // Runs in every tick, and the first agent mostly tells.
    for (const row of state.agents.values()) {
        if (canReceiveTasks(state, row)) {
            return true;
        }
    }
    return false;
}

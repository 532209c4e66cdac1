/**
 * Refuses waiting jobs that cannot be served in time, in the order in which jobs get room.
 */
import type { WaitingJob } from "../policies/jobOrder.js";
import { type EntryState, type JobRow, mayHaveStarted } from "./entryState.js";
import type { PlacementRound } from "./placementRound.js";
import { refuseJob } from "./submissions.js";

/**
 * Refuses jobs that have not started, have no room for all of their tasks, and will get none in time.
 *
 * @param state - state of the entry
 * @param round - round of placement that has just ended
 * @param waiting - jobs with waiting tasks before the round, in their order
 */
export function refuseHopelessJobs(state: EntryState, round: PlacementRound, waiting: readonly WaitingJob[]): void {
    const { admission, queueShares } = state.policies;
    const roomRate = state.roomRate.read(state.now);
    /** Room that waiting tasks need, in thousandths of a core, by service. */
    const roomAhead = new Map<string, number>();
    for (const { job } of waiting) {
        const row = state.jobs.get(job.id);
        if (row === undefined || row.waitingTasks.length === 0 || hasSpecialNeeds(row)) {
            continue;
        }
        const ownRoom = row.waitingTasks.length * job.needs.milliCores;
        const conditions = {
            roomAhead: roomAhead.get(job.service) ?? 0,
            ownRoom,
            roomRate,
            heardShare: round.heardShare,
            spareMilliseconds: row.deadlines.latestStart - state.now,
        };
        // A job whose earlier runs are being stopped, here or at another entry, waits for that, not for room.
        const isDelayed = state.stoppingRuns.has(job.id) || state.heldJobs.has(job.id)
            || state.inquiries.has(job.id);
        const mayBeRefused = !mayHaveStarted(row) && !isDelayed;
        if (mayBeRefused && !admission.canServe(conditions) && isShortOfRoom(round, row)) {
            const isOver = queueShares.readState(job.service, job.route, state.now) === "over";
            refuseJob(state, row, isOver ? "over-share" : "no-room-in-time", {
                roomAhead: conditions.roomAhead,
                ownRoom,
                roomRate: Math.round(roomRate ?? 0),
                untilLatestStart: Math.round(conditions.spareMilliseconds),
            });
        }
        else {
            roomAhead.set(job.service, conditions.roomAhead + ownRoom);
        }
    }
}

function isShortOfRoom(round: PlacementRound, { job }: JobRow): boolean {
    const possible = round.countFittingTasks(job, "capacity");
    return possible > 0 && round.countFittingTasks(job, "available") < possible;
}

/** Tells whether a job waits for other room than the rest of its service. */
function hasSpecialNeeds({ job }: JobRow): boolean {
    return job.requiredLabel !== undefined || job.needs.accelerators > 0;
}

/**
 * Pauses of the entry's process. While it was paused, callers may have turned to another entry.
 */
import { entryLeaseMilliseconds, reactionAllowanceMilliseconds } from "../model/timing.js";
import { listeningMilliseconds, repetitionMilliseconds } from "../policies/jobAnnouncements.js";
import type { EntryState } from "./entryState.js";
import { inquireOpenJobs } from "./jobInquiries.js";

/**
 * Detects a pause by the time since the latest tick. After a pause that is longer than its leases, the entry places no tasks
 * until it has received what has arrived meanwhile: the first tick may run before the process learns which of its callers'
 * connections have been closed. Open jobs and those that arrive soon may be open at other entries by then, so these are asked. After a shorter pause, a task that is started for a caller that has gone can still be stopped before
 * the caller submits its job again.
 *
 * @param state - state of the entry
 */
export function detectPause(state: EntryState): void {
    const { now } = state;
    state.readDelay.recordTick(now, state.wakeAt);
    const pausedMilliseconds = now - (state.lastTickAt ?? now);
    state.lastTickAt = now;
    if (pausedMilliseconds > entryLeaseMilliseconds) {
        state.placesFrom = now + reactionAllowanceMilliseconds;
        state.log("warn", "process was paused", {
            pausedMilliseconds: Math.round(pausedMilliseconds),
            jobs: state.jobs.size,
        });
        // Datagrams that did not fit into the socket's buffer are lost, and announcements with them.
        state.inquiresUntil = now + repetitionMilliseconds + listeningMilliseconds;
        inquireOpenJobs(state);
    }
}

/**
 * Log lines about the entry's link, one for each change.
 */
import type { EntryState } from "./entryState.js";

/** Shortest time between two lines, in milliseconds, so that a link at its limit does not fill the log. */
const reportIntervalMilliseconds = 1000;

/**
 * Logs that the link has become short or is no longer short.
 *
 * @param state - state of the entry
 */
export function reportLink(state: EntryState): void {
    const isShort = state.linkBacklog.isShort(state.now);
    if (isShort === state.isLinkReportedShort || state.now - state.linkReportedAt < reportIntervalMilliseconds) {
        return;
    }
    state.isLinkReportedShort = isShort;
    state.linkReportedAt = state.now;
    state.log(isShort ? "warn" : "info", isShort ? "link is short" : "link is sufficient", {
        ...state.linkBacklog.describe(state.now),
        heldTasks: state.heldTasks,
    });
}

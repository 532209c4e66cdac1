/**
 * Presence of the backend server: announcements, timeout and departure.
 */
import type { BackendServerAnnouncement } from "@lovagepitch/types/registry";
import type { TickContext } from "./tickContext.js";

/**
 * Stores an announcement of the backend server and marks the server as present.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param announcement - the server's URL, slots, connections and services
 */
export function handleBackendServerAnnouncement(context: TickContext, announcement: BackendServerAnnouncement): void {
    const current = context.tables.backendServer;
    context.tables.backendServer = {
        announcement,
        state: "present",
        lastAnnouncedAtMilliseconds: context.now,
        failedSubmissions: current?.announcement.url === announcement.url ? current.failedSubmissions : [],
    };
}

/**
 * Marks the backend server as leaving: it receives no new tasks, and running tasks finish.
 *
 * @param context - state, settings, time and outputs of the current tick
 */
export function handleBackendServerLeaving(context: TickContext): void {
    const current = context.tables.backendServer;
    if (current !== undefined) {
        context.tables.backendServer = { ...current, state: "leaving" };
    }
}

/**
 * Marks the backend server as silent when its last announcement is older than `backendServerTimeoutMilliseconds`.
 *
 * @param context - state, settings, time and outputs of the current tick
 */
export function checkBackendServerTimeout(context: TickContext): void {
    const current = context.tables.backendServer;
    if (current?.state !== "present") {
        return;
    }
    const timeoutAtMilliseconds = current.lastAnnouncedAtMilliseconds
        + context.settings.backendServerTimeoutMilliseconds;
    if (timeoutAtMilliseconds > context.now) {
        context.wakeAt(timeoutAtMilliseconds);
        return;
    }
    context.tables.backendServer = { ...current, state: "silent" };
    context.logDecision("ejected", "the backend server sent no announcement within its timeout");
}

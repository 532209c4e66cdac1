/**
 * Announcements, silence and leaving of the backend server.
 */
import type { BackendServerAnnouncement } from "@lovagepitch/types/registry";
import type { TickContext } from "./tickContext.js";

/**
 * Takes an announcement or its repetition.
 *
 * @param context - the tick
 * @param offer - what the backend server offers
 */
export function handleBackendServerAnnouncement(context: TickContext, offer: BackendServerAnnouncement): void {
    const current = context.tables.backendServer;
    context.tables.backendServer = {
        offer,
        state: "present",
        lastAnnouncedAtMilliseconds: context.now,
        failedSubmissions: current?.offer.url === offer.url ? current.failedSubmissions : [],
    };
}

/**
 * Takes note that the backend server leaves; what runs finishes.
 *
 * @param context - the tick
 */
export function handleBackendServerLeaving(context: TickContext): void {
    const current = context.tables.backendServer;
    if (current !== undefined) {
        context.tables.backendServer = { ...current, state: "leaving" };
    }
}

/**
 * Treats a backend server as gone after too long a silence.
 *
 * @param context - the tick
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
    context.logDecision("ejected", "the backend server has not announced itself in time");
}

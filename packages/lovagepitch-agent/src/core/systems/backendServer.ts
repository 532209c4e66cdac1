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
export function receiveAnnouncement(context: TickContext, offer: BackendServerAnnouncement): void {
    const known = context.tables.backendServer;
    context.tables.backendServer = {
        offer,
        state: "present",
        heardAtMilliseconds: context.now,
        failedSubmissions: known?.offer.url === offer.url ? known.failedSubmissions : [],
    };
}

/**
 * Takes note that the backend server leaves; what runs finishes.
 *
 * @param context - the tick
 */
export function receiveLeaving(context: TickContext): void {
    const known = context.tables.backendServer;
    if (known !== undefined) {
        context.tables.backendServer = { ...known, state: "leaving" };
    }
}

/**
 * Treats a backend server as gone after too long a silence.
 *
 * @param context - the tick
 */
export function watchBackendServer(context: TickContext): void {
    const known = context.tables.backendServer;
    if (known?.state !== "present") {
        return;
    }
    const silentAt = known.heardAtMilliseconds + context.settings.backendServerTimeoutMilliseconds;
    if (silentAt > context.now) {
        context.wakeAt(silentAt);
        return;
    }
    context.tables.backendServer = { ...known, state: "silent" };
    context.decide("ejected", "the backend server has not announced itself in time");
}

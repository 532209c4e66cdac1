/**
 * Reports and offers of a tick, grouped by receiver.
 */
import { createAgentLoad } from "./agentLoad.js";
import type { TickContext } from "./tickContext.js";

/**
 * Sends the reports of the current tick. An offer is added to a report to the same entry if there is one, and sent as a
 * separate message otherwise.
 *
 * @param context - state, settings, time and outputs of the current tick
 */
export function sendReports(context: TickContext): void {
    const load = createAgentLoad(context);
    const remainingOffers = new Map(context.offeredSlots);
    for (const pendingReport of context.pendingReports.values()) {
        const offeredSlots = remainingOffers.get(pendingReport.destination) ?? 0;
        remainingOffers.delete(pendingReport.destination);
        context.send(pendingReport.destination, {
            type: "reportTasks",
            submission: pendingReport.submission,
            reports: [...pendingReport.reports.values()],
            load,
            offeredSlots,
        });
    }
    for (const [destination, slots] of remainingOffers) {
        context.send(destination, { type: "offerSlots", slots, load });
    }
}

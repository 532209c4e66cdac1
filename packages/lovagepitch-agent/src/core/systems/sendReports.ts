/**
 * The tick's reports and offers, grouped by receiver.
 */
import { createAgentLoad } from "./agentLoad.js";
import type { TickContext } from "./tickContext.js";

/**
 * Sends the reports of the tick; offers ride on them where they can.
 *
 * @param context - the tick
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

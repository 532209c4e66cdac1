/**
 * The tick's reports and offers, grouped by receiver.
 */
import { describeLoad } from "./agentLoad.js";
import type { TickContext } from "./tickContext.js";

/**
 * Sends the reports of the tick; offers ride on them where they can.
 *
 * @param context - the tick
 */
export function sendReports(context: TickContext): void {
    const load = describeLoad(context);
    const offered = new Map(context.offered);
    for (const pending of context.reports.values()) {
        const offeredSlots = offered.get(pending.destination) ?? 0;
        offered.delete(pending.destination);
        context.send(pending.destination, {
            type: "reportTasks",
            submission: pending.submission,
            reports: [...pending.reports.values()],
            load,
            offeredSlots,
        });
    }
    for (const [destination, slots] of offered) {
        context.send(destination, { type: "offerSlots", slots, load });
    }
}

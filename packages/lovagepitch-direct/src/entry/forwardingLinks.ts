/**
 * Connections to other entries that this one passes jobs on to, and the choice among them.
 */
import type { ForwardedCancellation, ForwardedSubmission, ForwardedWithdrawal } from "../model/forwarding.js";
import type { EntryProcess } from "../model/jobOwnership.js";
import type { EntryState } from "./entryState.js";

/** Time without a reply after which an entry gets no further jobs, in milliseconds. */
const pauseMilliseconds = 300;

/** A connection to an entry that jobs are passed on to. */
export interface ForwardingLink {
    readonly address: string;
    /** Undefined until its first reply. */
    readonly peer: EntryProcess | undefined;
    readonly lastReplyAt: number;
    /** `sentAt` of the newest reply. */
    readonly newestSentAt: number | undefined;
    readonly load: number;
    readonly acceptsSubmissions: boolean;
    readonly configurationVersion: number;
    readonly lastFrameSentAt: number;
    /** Latest instant at which the other entry had time to spare. */
    readonly lastUsefulAt: number;
    readonly submissions: ForwardedSubmission[];
    readonly withdrawals: ForwardedWithdrawal[];
    readonly cancellations: ForwardedCancellation[];
}

/**
 * Chooses the connection for a job at random, weighted by the time that the other entries have to spare: several entries that are short
 * know the same loads, and would otherwise all choose the same one.
 *
 * @param state - state of the entry
 * @returns the connection, or undefined when no entry takes jobs
 */
export function chooseForwardingLink(state: EntryState): ForwardingLink | undefined {
    const { jobForwarding } = state.policies;
    const weighted: { readonly link: ForwardingLink; readonly weight: number }[] = [];
    let total = 0;
    for (const link of state.forwardingLinks.values()) {
        const isUsable = link.peer !== undefined && link.acceptsSubmissions
            && link.configurationVersion === (state.configuration?.version ?? 0)
            && state.now - link.lastReplyAt <= pauseMilliseconds;
        const weight = isUsable ? jobForwarding.weigh(link.load) : 0;
        if (weight > 0) {
            weighted.push({ link, weight });
            total += weight;
        }
    }
    let position = state.random.nextFraction() * total;
    return weighted.find(({ weight }) => {
        position -= weight;
        return position <= 0;
    })?.link;
}

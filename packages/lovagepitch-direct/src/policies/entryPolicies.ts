/**
 * The policies of an entry, composed in one place so that a test or the bench can replace one of them.
 */
import { type Admission, CapacityAdmission, PatientAdmission } from "./admission.js";
import { ExpectedCompletionSelection } from "./expectedCompletionSelection.js";
import { type JobForwarding, LoadForwarding } from "./jobForwarding.js";
import type { JobOrder } from "./jobOrder.js";
import { LinkBacklog } from "./linkBacklog.js";
import { PriorityOrder } from "./priorityOrder.js";
import { QueueShares, type ShareSettings } from "./queueShares.js";
import type { WorkerSelection } from "./workerSelection.js";

/** Policies that an entry decides with. */
export interface EntryPolicies {
    /** Decides which worker runs a task. */
    readonly workerSelection: WorkerSelection;
    /** Decides in which order waiting jobs are placed. */
    readonly jobOrder: JobOrder;
    /** Divides the room of a service among its queues. */
    readonly queueShares: QueueShares;
    /** Decides which waiting jobs are refused before their latest start. */
    readonly admission: Admission;
    /** Decides which jobs are passed on to other entries. */
    readonly jobForwarding: JobForwarding;
    /** Bounds the start orders in flight by what the entry's link carries. */
    readonly linkBacklog: LinkBacklog;
}

/** Settings of an entry that choose its policies. */
export interface EntryPolicySettings {
    /** Shares of the queues; undefined if all room goes by priority. */
    readonly queueShares?: ShareSettings | undefined;
    /** True to refuse jobs as soon as the observed rate of freed room shows that they cannot be served; false by default. */
    readonly refusesEarly?: boolean | undefined;
    /** Rate of the instance's own link; undefined if it is not known. */
    readonly linkMegabitsPerSecond?: number | undefined;
}

/**
 * Creates the policies of an entry.
 *
 * @param settings - settings of the entry; without any, only what is observed chooses between policies
 * @returns new policies; an instance serves one entry
 */
export function createEntryPolicies(settings: EntryPolicySettings = {}): EntryPolicies {
    const { queueShares, refusesEarly, linkMegabitsPerSecond } = settings;
    return {
        workerSelection: new ExpectedCompletionSelection(),
        jobOrder: new PriorityOrder(),
        queueShares: new QueueShares(queueShares),
        admission: refusesEarly === true ? new CapacityAdmission() : new PatientAdmission(),
        jobForwarding: new LoadForwarding(),
        linkBacklog: new LinkBacklog(linkMegabitsPerSecond),
    };
}

/**
 * A job that the tests of direct jobs vary.
 */
import type { DirectJob } from "@lovagepitch/direct/model/directJob";

/** Service of every worker and job. */
export const testedService = "service-a";

/** A job of four tasks that the tests vary. */
export const defaultJob: DirectJob = {
    id: "0000000000000000",
    route: "route-a",
    service: testedService,
    priority: 0,
    specification: "work",
    taskCount: 4,
    needs: { milliCores: 1600, memoryMegabytes: 64, accelerators: 0 },
    estimatedMilliseconds: 200,
    requiredLabel: undefined,
    maximumPerWorker: Number.MAX_SAFE_INTEGER,
    stretch: 1.6,
    allowanceMilliseconds: 60,
    maximumAttempts: 3,
    callerWaitMilliseconds: 5000,
};

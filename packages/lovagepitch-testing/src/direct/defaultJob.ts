/**
 * Default direct job of the tests.
 */
import type { DirectJob } from "@lovagepitch/direct/model/directJob";

/** Service of all workers and jobs. */
export const testedService = "service-a";

/** Job of four tasks; a test overrides the fields that matter to it. */
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

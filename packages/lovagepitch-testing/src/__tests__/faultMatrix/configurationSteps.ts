/**
 * Steps of a configuration change at which faults are injected, while jobs arrive at both entries.
 */
import { createMatrixJob, createMatrixManifest, matrixZones } from "./matrixJobs.js";
import type { MatrixRun } from "./matrixRun.js";
import type { MatrixStep } from "./requestSteps.js";

const jobCount = 60;
const jobGapMilliseconds = 150;

function applyNarrowerManifest(run: MatrixRun): void {
    for (let position = 0; position < jobCount; position += 1) {
        const at = run.deployment.clock.nowMilliseconds() + position * jobGapMilliseconds;
        run.deployment.queue.schedule(at, () => {
            run.submitOtherJob(createMatrixJob({ tasks: 1, milliseconds: 50 }), position % 2);
        }, undefined);
    }
    run.submitJob();
    run.deployment.applyManifest(createMatrixManifest([matrixZones[0]]), 1, "operator-1", () => undefined);
}

/** The steps, by the names that the features use. */
export const configurationSteps: { readonly [name: string]: MatrixStep } = {
    "a manifest write is sent": run => {
        applyNarrowerManifest(run);
        return undefined;
    },
    "a manifest is accepted and not propagated": run => {
        applyNarrowerManifest(run);
        run.advanceUntil(() => run.deployment.platform.manifest?.version === 2);
        return undefined;
    },
    "a manifest is partly propagated": run => {
        applyNarrowerManifest(run);
        run.advanceUntil(() => run.deployment.record.observedVersions.some(observed => observed.version === 2));
        return undefined;
    },
};

/**
 * Steps of a configuration at which faults strike, while jobs come in at both entries.
 */
import { createMatrixJob, createMatrixManifest, matrixZones } from "./matrixJobs.js";
import type { MatrixRun } from "./matrixRun.js";
import type { MatrixStep } from "./requestSteps.js";

const jobs = 60;
const jobGapMilliseconds = 150;

function applyNarrowerManifest(run: MatrixRun): void {
    for (let position = 0; position < jobs; position += 1) {
        const at = run.deployment.clock.nowMilliseconds() + position * jobGapMilliseconds;
        run.deployment.queue.schedule(at, () => {
            run.submitOther(createMatrixJob({ tasks: 1, milliseconds: 50 }), position % 2);
        }, undefined);
    }
    run.submitJob();
    run.deployment.applyManifest(createMatrixManifest([matrixZones[0]]), 1, "operator-1", () => undefined);
}

/** The steps by name. */
export const configurationSteps: { readonly [name: string]: MatrixStep } = {
    "a manifest write is sent": run => {
        applyNarrowerManifest(run);
        return undefined;
    },
    "a manifest is accepted and not spread": run => {
        applyNarrowerManifest(run);
        run.reach(() => run.deployment.platform.manifest?.version === 2);
        return undefined;
    },
    "a manifest is spread in part": run => {
        applyNarrowerManifest(run);
        run.reach(() => run.deployment.record.observedVersions.some(observed => observed.version === 2));
        return undefined;
    },
};

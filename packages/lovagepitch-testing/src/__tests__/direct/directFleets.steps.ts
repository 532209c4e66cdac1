import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { DirectDeployment } from "../../direct/directDeployment.js";
import { defaultJobKinds, type KindResult, MixedLoad } from "../../direct/mixedLoad.js";

let mixedLoad: MixedLoad | undefined;

function getDeployment(): DirectDeployment {
    assert.ok(mixedLoad, "no load was run");
    return mixedLoad.deployment;
}

When(
    /^(\d+) entries and (\d+) workers in (\d+) zones receive ([\d.]+) times the default job mix for (\d+) s(, half of it at one entry)?$/,
    (entries: string, workers: string, zones: string, factor: string, seconds: string, skewed: string | undefined) => {
        mixedLoad = new MixedLoad({
            entries: Number(entries),
            workers: Number(workers),
            zones: Number(zones),
            firstEntryShare: skewed === undefined ? 0 : 0.5,
            rateFactor: Number(factor) * Number(workers) / 11,
            durationSeconds: Number(seconds),
            seed: 1,
        });
        mixedLoad.run();
    },
);

When("entries {int} to {int} are killed", (first: number, last: number) => {
    for (let entry = first; entry <= last; entry += 1) {
        getDeployment().killEntry(entry);
    }
});

Then("at least {float} of the jobs of the mix were done in time", (minimum: number) => {
    const results = defaultJobKinds.map(kind => mixedLoad?.countJobs(kind.name));
    const sum = (read: (result: KindResult) => number): number => {
        return results.reduce((total, result) => total + (result === undefined ? 0 : read(result)), 0);
    };
    const share = sum(result => result.inTime) / sum(result => result.jobs);
    assert.ok(share >= minimum, `${share} of the jobs: ${JSON.stringify(results)}`);
});

Then("no job of the mix was refused", () => {
    assert.equal(getDeployment().record.countAnswers("refused"), 0);
});

Then("no agent is connected to more than {int} entries", (maximum: number) => {
    for (const index of getDeployment().workers.keys()) {
        const count = getDeployment().countConnections((_, agent) => agent === index);
        assert.ok(count > 0 && count <= maximum, `agent ${index} has ${count} connections`);
    }
});

Then("every other entry has at least {int} agents", (minimum: number) => {
    for (let index = 4; index < 12; index += 1) {
        const count = getDeployment().countConnections(entry => entry === index);
        assert.ok(count >= minimum, `entry ${index} has ${count} connections`);
    }
});

When("{int} ms pass in the fleet", (milliseconds: number) => {
    getDeployment().advance(milliseconds);
});

Then("the guarantees hold in the fleet", () => {
    assert.deepEqual(getDeployment().record.violations, []);
});

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { DirectDeployment } from "../../direct/directDeployment.js";
import { defaultJobKinds } from "../../direct/jobKinds.js";
import { type KindResult, MixedLoad } from "../../direct/mixedLoad.js";

const fleetEntries = 12;
const callerLimits = {
    maximumHeaderBytes: 16_384,
    maximumBodyBytes: 20_000,
    headerTimeoutMilliseconds: 3000,
    idleTimeoutMilliseconds: 15_000,
};

let mixedLoad: MixedLoad | undefined;
let fleet: DirectDeployment | undefined;

function getDeployment(): DirectDeployment {
    assert.ok(fleet, "no fleet was started");
    return fleet;
}

When(
    /^(\d+) entries and (\d+) workers in (\d+) zones receive ([\d.]+) times the default job mix for (\d+) s(, half of it at one entry)?$/,
    (entries: string, workers: string, zones: string, factor: string, seconds: string, skewed: string | null) => {
        mixedLoad = new MixedLoad({
            entries: Number(entries),
            workers: Number(workers),
            zones: Number(zones),
            firstEntryShare: skewed === null ? 0 : 0.5,
            rateFactor: Number(factor) * Number(workers) / 11,
            durationSeconds: Number(seconds),
            seed: 1,
        });
        mixedLoad.run();
        fleet = mixedLoad.deployment;
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
        const count = getDeployment().linkNetwork.count((_, agent) => agent === index);
        assert.ok(count > 0 && count <= maximum, `agent ${index} has ${count} connections`);
    }
});

Then("an entry of the fleet has asked others for capacity", () => {
    assert.ok(getDeployment().linkNetwork.requestCount > 0);
});

Then("every other entry has at least {int} agents", (minimum: number) => {
    for (let index = 4; index < 12; index += 1) {
        const count = getDeployment().linkNetwork.count(entry => entry === index);
        assert.ok(count >= minimum, `entry ${index} has ${count} connections`);
    }
});

Given(
    "{int} entries and {int} workers in {int} zones in a fleet",
    (entries: number, workers: number, zones: number) => {
        fleet = new DirectDeployment({
            entries,
            workers,
            zones,
            milliCores: 16_000,
            seed: 1,
            getTaskDurationMilliseconds: () => 100,
        });
    },
);

When(
    /^all entries of the fleet( but one)? read version (\d+) of the configuration$/,
    // Cucumber passes null for a group that did not match.
    (exception: string | null, version: string) => {
        for (let entry = exception === null ? 0 : 1; entry < fleetEntries; entry += 1) {
            getDeployment().configure(entry, { version: Number(version), routes: [], callerLimits });
        }
    },
);

Then("every entry of the fleet has version {int}", (version: number) => {
    for (let entry = 0; entry < fleetEntries; entry += 1) {
        assert.equal(getDeployment().getConfigurationVersion(entry), version, `entry ${entry}`);
    }
});

Then("at most {int} configurations were sent in the fleet", (maximum: number) => {
    const { configurationCount } = getDeployment().linkNetwork;
    assert.ok(configurationCount <= maximum, `${configurationCount} configurations`);
});

When("{int} ms pass in the fleet", (milliseconds: number) => {
    getDeployment().advance(milliseconds);
});

Then("the guarantees hold in the fleet", () => {
    assert.deepEqual(getDeployment().record.violations, []);
});
